/** Sends steady requests at every daemon to a keyed and a balanced service, and has each that reaches a server checked against the bounds. */
import { SeededRandom } from '../../../src/core/random.js';
import type { Effect, ForwardEffect } from '../../../src/router/effects.js';
import type { AttemptResult } from '../../../src/router/events.js';
import type { Configuration } from '../../../src/router/model/configuration.js';
import { isSendAllowed } from '../../../src/router/request/send-permission.js';
import type { RouterState } from '../../../src/router/router-state.js';
import { BoundChecks } from './bound-checks.js';
import { fingerprintOf } from './fingerprints.js';
import { BALANCED_SERVICE, CONFIGURATION } from './request-traffic.js';
import {
  type RequestEffectHandler,
  type RouterSimulation,
  SERVICE as KEYED_SERVICE,
  type SimulatedDaemon,
} from './router-simulation.js';
import { CHECKED_KEYS, type SimulatedServer } from './simulated-server.js';

/** Interval in milliseconds between two requests of one route at one daemon. */
const REQUEST_INTERVAL = 200;
const CALLER_TIMEOUT = 800;
const RESPONSE_TIME = 10;

/** Decides, when an attempt is about to be written to its connection, whether it may still be sent. */
export type WriteCheck = (state: RouterState, now: number, effect: ForwardEffect) => boolean;

/** A caller's request, with times in milliseconds; null: not yet. */
export interface TrackedRequest {
  readonly daemon: SimulatedDaemon;
  readonly route: string;
  readonly key: number | null;
  readonly sentAt: number;
  /** Whether the daemon was in touch when the request was sent. */
  readonly isInTouch: boolean;
  reachedServerAt: number | null;
  /** When the daemon answered the request itself. */
  refusedAt: number | null;
}

interface Attempt {
  readonly daemon: SimulatedDaemon;
  readonly life: number;
  readonly effect: ForwardEffect;
  isWritten: boolean;
}

/** Steady traffic at the daemons of a simulation, through which tests make the changes in the store that are checked. */
export class BoundedTraffic implements RequestEffectHandler {
  /** Time in milliseconds to open a connection to a server. */
  connectionDelay = 1;
  /** Whether an attempt may be written; a refused one is reported to the daemon as withheld. */
  isWriteAllowed: WriteCheck = (state, now, { server }) => isSendAllowed(state, now, server);
  /** Routes to which requests are sent. */
  routes: readonly string[] = [KEYED_SERVICE, BALANCED_SERVICE];
  readonly checks: BoundChecks;
  /** All requests so far, in the order of sending. */
  readonly requests: TrackedRequest[] = [];
  readonly #simulation: RouterSimulation;
  readonly #random = new SeededRandom(1);
  readonly #attempts = new Map<string, Attempt>();

  constructor(simulation: RouterSimulation, balancedServers: number) {
    this.#simulation = simulation;
    this.checks = new BoundChecks(simulation);
    simulation.requests = this;
    this.configure(CONFIGURATION);
    for (let index = 0; index < balancedServers; index += 1) {
      simulation.addServer(`10.0.3.${index}:80`, BALANCED_SERVICE);
    }
  }

  /** Begins to send requests at every daemon. */
  start(): void {
    this.#simulation.daemons.forEach((daemon, index) =>
      this.#simulation.clock.schedule((index * 37) % REQUEST_INTERVAL, () => this.#sendRequests(daemon)),
    );
  }

  /** Announces in the store that a server drains. */
  drain(server: SimulatedServer): void {
    this.checks.drained(server.id);
    this.#simulation.drain(server.id);
  }

  /** Evacuates the given zones and ends the evacuation of all others. */
  evacuate(zones: readonly string[]): void {
    this.checks.evacuated(zones);
    this.#simulation.evacuate(zones);
  }

  /** Writes a new configuration to the store. */
  configure(configuration: Configuration): void {
    this.checks.configured(configuration);
    this.#simulation.configure(configuration);
  }

  perform(daemon: SimulatedDaemon, effect: Effect): void {
    if (effect.kind === 'forward') {
      const attempt = { daemon, life: daemon.life, effect, isWritten: false };
      this.#attempts.set(keyOf(attempt), attempt);
      this.#simulation.clock.schedule(this.connectionDelay, () => this.#write(attempt));
    } else if (effect.kind === 'cancel') {
      this.#attempts.delete(keyOf({ daemon, effect }));
    } else if (effect.kind === 'withdraw') {
      const attempt = this.#attempts.get(keyOf({ daemon, effect }));
      if (attempt?.isWritten === false) {
        this.#end(attempt, { kind: 'withdrawn', reason: 'no longer needed' });
      }
    } else if (effect.kind === 'answer') {
      this.#recordAnswer(this.#requestOf(effect.requestId), effect.status);
    }
  }

  #sendRequests(daemon: SimulatedDaemon): void {
    const isInTouch = this.checks.isInTouch(daemon);
    if (daemon.alive) {
      this.routes.forEach((route) => this.#sendRequest(daemon, route, isInTouch));
    }
    this.#simulation.clock.schedule(REQUEST_INTERVAL, () => this.#sendRequests(daemon));
  }

  #sendRequest(daemon: SimulatedDaemon, route: string, isInTouch: boolean): void {
    const number = Math.floor(this.#random.fraction() * CHECKED_KEYS.length);
    const key = route === KEYED_SERVICE ? (CHECKED_KEYS[number] as number) : null;
    const sentAt = this.#simulation.clock.now;
    this.requests.push({ daemon, route, key, sentAt, isInTouch, reachedServerAt: null, refusedAt: null });
    const requestId = this.requests.length;
    this.#simulation.deliver(daemon, {
      kind: 'requestArrived',
      requestId,
      attemptId: `a-${requestId}`,
      method: 'GET',
      host: 'h.example',
      target: `/${route}/${requestId}`,
      callerTimeout: CALLER_TIMEOUT,
      key,
      fingerprint: fingerprintOf(`${requestId}`),
      readDelay: 0,
      origin: null,
    });
  }

  #requestOf(requestId: number): TrackedRequest {
    return this.requests[requestId - 1] as TrackedRequest;
  }

  #write(attempt: Attempt): void {
    const { daemon, effect } = attempt;
    if (this.#attempts.get(keyOf(attempt)) !== attempt) {
      return;
    }
    if (!this.isWriteAllowed(daemon.state, daemon.clock.now(), effect)) {
      this.#end(attempt, { kind: 'withheld' });
      return;
    }
    attempt.isWritten = true;
    const server = this.#simulation.servers.findLast(({ address }) => address === effect.address);
    const request = this.#requestOf(effect.requestId);
    const isRun = server?.id === effect.server && (request.key === null || server.holds(request.key));
    this.checks.checkArrival(request, effect.server, isRun);
    if (!isRun) {
      this.#end(attempt, { kind: 'rejected', status: 421, misdirected: true, load: null, attribution: 'id' });
      return;
    }
    request.reachedServerAt ??= this.#simulation.clock.now;
    this.#simulation.clock.schedule(RESPONSE_TIME, () =>
      this.#end(attempt, { kind: 'answered', status: 200, load: null }),
    );
  }

  #recordAnswer(request: TrackedRequest, status: number): void {
    request.refusedAt = this.#simulation.clock.now;
    if (status === 404) {
      this.checks.checkMissingRoute(request);
    }
  }

  /** Reports the end of an attempt to its daemon, unless the attempt was cancelled or the daemon has restarted. */
  #end(attempt: Attempt, result: AttemptResult): void {
    const { daemon, life, effect } = attempt;
    if (this.#attempts.get(keyOf(attempt)) !== attempt || daemon.life !== life) {
      return;
    }
    this.#attempts.delete(keyOf(attempt));
    const { requestId, attempt: number } = effect;
    this.#simulation.deliver(daemon, { kind: 'attemptEnded', requestId, attempt: number, result });
  }
}

function keyOf({
  daemon,
  effect,
}: {
  daemon: SimulatedDaemon;
  effect: { readonly requestId: number; readonly attempt: number };
}): string {
  return `${daemon.name}/${effect.requestId}/${effect.attempt}`;
}
