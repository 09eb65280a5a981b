/** The hop of simulated requests from the daemon of their caller to a proxy, and of what becomes of them there back. */
import type { AnswerEffect, ForwardToProxyEffect } from '../../../src/router/effects.js';
import type { AttemptResult } from '../../../src/router/events.js';
import type { RouterSimulation } from './router-simulation.js';
import { proxyAddressOf, type SimulatedDaemon } from './simulated-daemon.js';

const NETWORK_DELAY = 1;
const LOST: AttemptResult = {
  kind: 'lost',
  reason: 'other side closed',
  isResponseStarted: false,
  isClosedByServer: true,
};

/** A request at a proxy. */
interface Hop {
  readonly origin: SimulatedDaemon;
  readonly originLife: number;
  readonly effect: ForwardToProxyEffect;
  readonly proxy: SimulatedDaemon;
  readonly proxyLife: number;
  readonly proxyRequestId: number;
}

/** Delivers a request to a proxy, and returns its id there. */
type ArriveAtProxy = (
  proxy: SimulatedDaemon,
  origin: SimulatedDaemon,
  effect: ForwardToProxyEffect,
) => number;

export class ProxiedRequests {
  readonly #simulation: RouterSimulation;
  readonly #arrive: ArriveAtProxy;
  readonly #hops = new Set<Hop>();
  /** Number of requests that reached a proxy. */
  count = 0;

  constructor(simulation: RouterSimulation, arrive: ArriveAtProxy) {
    this.#simulation = simulation;
    this.#arrive = arrive;
  }

  forward(origin: SimulatedDaemon, effect: ForwardToProxyEffect): void {
    const originLife = origin.life;
    this.#simulation.clock.schedule(NETWORK_DELAY, () => {
      const proxy = this.#simulation.daemons.find(
        ({ address, alive }) => alive && proxyAddressOf(address) === effect.address,
      );
      if (proxy === undefined) {
        this.#endAtOrigin(origin, originLife, effect, {
          kind: 'notSent',
          reason: 'ECONNREFUSED',
          refused: true,
        });
        return;
      }
      this.count += 1;
      const proxyRequestId = this.#arrive(proxy, origin, effect);
      const hop = { origin, originLife, effect, proxy, proxyLife: proxy.life, proxyRequestId };
      this.#hops.add(hop);
    });
  }

  /** Ends the requests at a proxy whose process has ended. */
  loseLinksTo(proxy: SimulatedDaemon): void {
    for (const hop of this.#hops) {
      if (hop.proxy === proxy) {
        this.#end(hop, LOST);
      }
    }
  }

  /** Cancels a request at its proxy. */
  cancel(origin: SimulatedDaemon, requestId: number): void {
    for (const hop of this.#hops) {
      if (hop.origin === origin && hop.effect.requestId === requestId) {
        this.#hops.delete(hop);
        const event = { kind: 'callerLeft', requestId: hop.proxyRequestId, attemptId: '' } as const;
        this.#simulation.clock.schedule(NETWORK_DELAY, () =>
          this.#simulation.deliver(hop.proxy, { ...event, isArrivalReported: true }),
        );
      }
    }
  }

  /** Passes a server's response back that reached a proxy. */
  answered(proxy: SimulatedDaemon, requestId: number): void {
    this.#find(proxy, requestId, { kind: 'answered', status: 200, load: null });
  }

  /** Passes back what a proxy itself answers. Returns whether the request had come from another daemon. */
  answer(proxy: SimulatedDaemon, effect: AnswerEffect): boolean {
    const { execution, reason, retryAfter, attempts, isPathLost } = effect;
    const result: AttemptResult = execution.mayHaveRun
      ? { kind: 'failedAtProxy', reason }
      : {
          kind: 'refusedByProxy',
          reason,
          retryAfter,
          attempts,
          isPathLost,
          proofs: execution.proofs,
        };
    return this.#find(proxy, effect.requestId, result);
  }

  #find(proxy: SimulatedDaemon, requestId: number, result: AttemptResult): boolean {
    for (const hop of this.#hops) {
      if (hop.proxy === proxy && hop.proxyLife === proxy.life && hop.proxyRequestId === requestId) {
        this.#simulation.clock.schedule(NETWORK_DELAY, () => this.#end(hop, result));
        return true;
      }
    }
    return false;
  }

  #end(hop: Hop, result: AttemptResult): void {
    if (this.#hops.delete(hop)) {
      this.#endAtOrigin(hop.origin, hop.originLife, hop.effect, result);
    }
  }

  #endAtOrigin(
    origin: SimulatedDaemon,
    life: number,
    { requestId, attempt }: ForwardToProxyEffect,
    result: AttemptResult,
  ): void {
    if (origin.life === life) {
      this.#simulation.deliver(origin, { kind: 'attemptEnded', requestId, attempt, result });
    }
  }
}
