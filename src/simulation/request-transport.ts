/**
 * Transports simulated requests from callers to daemons, and from daemons to servers or to daemons of another
 * side, and transports the responses back.
 */
import type { ForwardEffect, Outcome } from '../core/effects.js';
import type { AttemptResult } from '../core/events.js';
import type { Milliseconds } from '../core/identifiers.js';
import { HOP_HEADER } from '../core/request/request-reducer.js';
import type { History } from './history.js';
import type { Endpoint, Network } from './network.js';
import type { Scheduler } from './scheduler.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { SimulatedServer } from './simulated-server.js';

/** Delay after which a process notices that its peer's end of a connection is gone. */
const BROKEN_CONNECTION_DELAY: Milliseconds = 300;
const REFUSED_CONNECTION_DELAY: Milliseconds = 1;
const CALLER_TIMEOUT: Milliseconds = 12_000;
const CALLERS: Endpoint = { name: 'callers', zone: 'outside' };

/** A simulated request of a caller. */
export interface SimulatedCall {
  readonly method: string;
  readonly path: string;
  readonly repeatable: boolean;
}

/** The parts of the simulated system that the transport uses. */
export interface TransportDependencies {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly history: History;
  server(id: string): SimulatedServer;
  daemonAt(address: string): SimulatedDaemon | undefined;
}

/** A request that a daemon has received and not answered yet. */
interface OpenRequest {
  readonly call: SimulatedCall;
  readonly callId: number;
  /** Returns the daemon's response to the sender of the request. */
  readonly answer: (outcome: Outcome) => void;
}

/** Delivers requests and responses, and keeps track of the requests that are open at daemons. */
export class RequestTransport {
  readonly #world: TransportDependencies;
  readonly #open = new Map<number, OpenRequest>();
  #nextRequest = 1;
  #nextCall = 1;

  constructor(world: TransportDependencies) {
    this.#world = world;
  }

  /** Sends a caller's request to a daemon; if there is none, the request ends as `broken`. */
  call(call: SimulatedCall, daemon: SimulatedDaemon | undefined): void {
    const { scheduler, network, history } = this.#world;
    const callId = this.#nextCall;
    this.#nextCall += 1;
    const { repeatable } = call;
    const startedAt = scheduler.now;
    history.calls.set(callId, { id: callId, repeatable, startedAt, endedAt: 0, outcome: null, runs: 0 });
    const broken = (): void => history.ended(callId, 'broken', scheduler.now);
    if (daemon === undefined) {
      broken();
      return;
    }
    scheduler.after(CALLER_TIMEOUT, broken);
    const brokenLater = (): void => scheduler.after(BROKEN_CONNECTION_DELAY, broken);
    const answer = (outcome: Outcome): void => {
      const recordOutcome = (): void => history.ended(callId, outcome, scheduler.now);
      network.deliverOnce(daemon.endpoint, CALLERS, recordOutcome, brokenLater);
    };
    network.deliverOnce(
      CALLERS,
      daemon.endpoint,
      () => this.#deliverToDaemon(daemon, { call, callId, answer }, 0),
      brokenLater,
    );
  }

  /** Returns a daemon's final outcome of a request to the sender. */
  answer(requestId: number, outcome: Outcome): void {
    const request = this.#open.get(requestId);
    this.#open.delete(requestId);
    request?.answer(outcome);
  }

  /** Forwards a daemon's attempt to a server or to a gateway daemon of another side. */
  forward(daemon: SimulatedDaemon, effect: ForwardEffect): void {
    const { scheduler } = this.#world;
    const { requestId, attempt } = effect;
    const { life } = daemon;
    const request = this.#open.get(requestId);
    if (request === undefined) {
      return;
    }
    const conclude = (result: AttemptResult): void => {
      if (daemon.life !== life) {
        return;
      }
      if (result.kind === 'answered') {
        daemon.dispatch({ kind: 'answerStarted', requestId, attempt });
        this.answer(requestId, 'answered');
      }
      daemon.dispatch({ kind: 'attemptEnded', requestId, attempt, result });
    };
    const lost = (): void =>
      scheduler.after(BROKEN_CONNECTION_DELAY, () =>
        conclude({ kind: 'lost', reason: 'connection broken', answerStarted: false }),
      );
    const refuse = (): void =>
      scheduler.after(REFUSED_CONNECTION_DELAY, () =>
        conclude({ kind: 'notSent', reason: 'connection refused' }),
      );
    if (effect.toOtherSide) {
      this.#forwardToOtherSide(daemon, effect, request, { conclude, lost, refuse });
    } else {
      this.#forwardToServer(daemon, effect, request.callId, { conclude, lost, refuse });
    }
  }

  #deliverToDaemon(daemon: SimulatedDaemon, request: OpenRequest, hops: number): void {
    const requestId = this.#nextRequest;
    this.#nextRequest += 1;
    this.#open.set(requestId, request);
    const { method, path } = request.call;
    const headers = hops === 0 ? {} : { [HOP_HEADER]: String(hops) };
    const target = { host: '', query: '' };
    daemon.dispatch({
      kind: 'requestArrived',
      requestId,
      method,
      path,
      headers,
      replayable: true,
      ...target,
    });
  }

  #forwardToOtherSide(
    daemon: SimulatedDaemon,
    effect: ForwardEffect,
    request: OpenRequest,
    ends: AttemptCallbacks,
  ): void {
    const { network } = this.#world;
    const gateway = this.#world.daemonAt(effect.address);
    if (gateway?.alive !== true) {
      ends.refuse();
      return;
    }
    const { life } = gateway;
    const answer = (outcome: Outcome): void => {
      const result = attemptResultFromOutcome(outcome);
      network.deliverOnce(gateway.endpoint, daemon.endpoint, () => ends.conclude(result), ends.lost);
    };
    const { call, callId } = request;
    const arrive = (): void => {
      if (gateway.life === life) {
        this.#deliverToDaemon(gateway, { call, callId, answer }, effect.hops);
      } else {
        ends.lost();
      }
    };
    network.deliverOnce(daemon.endpoint, gateway.endpoint, arrive, ends.lost);
    this.#reportLossOnCrash(gateway, life, ends.lost);
  }

  #forwardToServer(
    daemon: SimulatedDaemon,
    effect: ForwardEffect,
    callId: number,
    ends: AttemptCallbacks,
  ): void {
    const { network } = this.#world;
    const server = this.#world.server(effect.server);
    if (!server.alive) {
      ends.refuse();
      return;
    }
    const { life } = server;
    const serve = (): void =>
      server.serve(callId, effect.token, (result) => {
        const answer: AttemptResult =
          result.kind === 'ran' ? { kind: 'answered' } : { kind: 'refused', reason: result.reason };
        network.deliverOnce(server.endpoint, daemon.endpoint, () => ends.conclude(answer), ends.lost);
      });
    const arrive = (): void => {
      if (server.life === life) {
        server.runWhenActive(serve);
      } else {
        ends.lost();
      }
    };
    network.deliverOnce(daemon.endpoint, server.endpoint, arrive, ends.lost);
    this.#reportLossOnCrash(server, life, ends.lost);
  }

  /**
   * Reports the connection as lost when the peer process has crashed; the crash is noticed after a short
   * delay.
   */
  #reportLossOnCrash(process: { readonly life: number }, life: number, lost: () => void): void {
    this.#world.scheduler.after(BROKEN_CONNECTION_DELAY, () => {
      if (process.life !== life) {
        lost();
      }
    });
  }
}

interface AttemptCallbacks {
  readonly conclude: (result: AttemptResult) => void;
  readonly lost: () => void;
  readonly refuse: () => void;
}

function attemptResultFromOutcome(outcome: Outcome): AttemptResult {
  if (outcome === 'answered') {
    return { kind: 'answered' };
  }
  return outcome === 'not-run'
    ? { kind: 'refused', reason: 'not run by the other side' }
    : { kind: 'lost', reason: 'unknown to the other side', answerStarted: false };
}
