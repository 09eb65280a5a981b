/**
 * Simulates callers' requests: servers process them in slots and crash during those that are marked as crashing. Records the
 * requests that reach servers and the responses to callers for the tests' checks.
 */
import type { Effect, ForwardEffect } from '../../../src/router/effects.js';
import type { AttemptResult } from '../../../src/router/events.js';
import type { RequestOrigin } from '../../../src/router/proxying/request-origin.js';
import { fingerprintOf } from './fingerprints.js';
import { ProxiedRequests } from './proxied-requests.js';
import { BALANCED_SERVICE, CONFIGURATION } from './traffic-configuration.js';
import { type PathFault, refusesNewConnections, type SimulatedServer } from './simulated-server.js';
import {
  type SimulatedDaemon,
  type RequestEffectHandler,
  type RouterSimulation,
  SERVICE as KEYED,
} from './router-simulation.js';

const NETWORK_DELAY = 1;
const CONNECT_TIMEOUT = 700;
const SLOTS = 2;
/** A server sheds a request that would wait longer than this many milliseconds for a slot. */
const MAX_QUEUE_TIME = 300;
const SHORTEST_WORK = 30;
const LONGEST_WORK = 120;
/** A crashed server restarts as a new one at its address after this many milliseconds and up to half a second more. */
const RESTART_DELAY = 3_000;
const RESTART_SPREAD = 500;
/** The entry of a crashed server stays in the list for three heartbeat intervals: this many milliseconds. */
const ENTRY_LIFETIME = 4_500;
const CALLER_TIMEOUT = 800;

export { BALANCED_SERVICE, CONFIGURATION };

/** A request that callers may repeat: the same name means the same method, path, caller and body. */
export interface NamedRequest {
  readonly name: string;
  /** The name of the route. */
  readonly route: string;
  readonly key: number;
}

/** A request that reached a server. */
export interface Delivery {
  readonly name: string;
  readonly server: string;
  readonly daemon: SimulatedDaemon;
  readonly at: number;
}

/** A response to a caller. */
export interface CallerResponse {
  readonly name: string;
  readonly daemon: SimulatedDaemon;
  readonly status: number;
  readonly reason: string;
  readonly at: number;
}

/** How long a caller waited for a response of the daemon's own, in milliseconds. */
export interface ResponseTime {
  readonly status: number;
  readonly waited: number;
  readonly retryAfter: number | null;
}

interface RunningAttempt {
  readonly name: string;
  readonly daemon: SimulatedDaemon;
  readonly life: number;
  readonly effect: ForwardEffect;
  /** Send time by the daemon's clock. */
  readonly sentAt: number;
  /** Whether the request was written to a connection, so that the server may run it. */
  isWritten: boolean;
  isOver: boolean;
}

export class RequestTraffic implements RequestEffectHandler {
  /** Names of requests that crash every server that executes them. */
  readonly crashingRequests = new Set<string>();
  /** Servers that reject every request and ask for a back-off, with its duration in milliseconds. */
  readonly backOffs = new Map<SimulatedServer, number>();
  /** Time of the servers' work as a multiple of the usual time. */
  slowdown = 1;
  readonly deliveries: Delivery[] = [];
  readonly crashes: { readonly name: string; readonly server: string; readonly at: number }[] = [];
  /** Copies of requests that were lost with a server that ended, and when. */
  readonly lostCopies: { readonly name: string; readonly at: number }[] = [];
  readonly responses: CallerResponse[] = [];
  /** When each daemon first received a response that stated the server's rate limit, by server and daemon. */
  readonly limitFirstReceivedAt = new Map<string, Map<SimulatedDaemon, number>>();
  readonly responseTimes: ResponseTime[] = [];
  readonly #simulation: RouterSimulation;
  readonly #arrivedAt = new Map<string, number>();
  readonly #names = new Map<string, string>();
  readonly #requests = new Map<string, NamedRequest>();
  readonly proxied: ProxiedRequests;
  readonly #running = new Map<SimulatedServer, RunningAttempt[]>();
  readonly #slotFreeAt = new Map<SimulatedServer, number[]>();
  /** Attempts that have neither ended nor been cancelled, by daemon and request. */
  readonly #attempts = new Map<string, RunningAttempt>();
  /** Idle connections that were open when the path between a daemon and a server failed. */
  readonly #openConnections = new Set<string>();
  #nextRequest = 1;

  constructor(simulation: RouterSimulation, plainServers: number) {
    this.#simulation = simulation;
    this.proxied = new ProxiedRequests(simulation, (proxy, origin, effect) => {
      const request = this.#requests.get(this.#keyOf(origin, effect.requestId)) as NamedRequest;
      return this.#arriveAt(proxy, request, effect.timeLeft, effect.origin);
    });
    simulation.requests = this;
    simulation.configure(CONFIGURATION);
    for (let index = 0; index < plainServers; index += 1) {
      simulation.addServer(`10.0.3.${index}:80`, BALANCED_SERVICE);
    }
  }

  /** Sends one attempt of a caller's request to a daemon. */
  sendRequest(daemon: SimulatedDaemon, request: NamedRequest): void {
    if (daemon.alive) {
      this.#arriveAt(daemon, request, CALLER_TIMEOUT, null);
    }
  }

  /** Delivers a request to a daemon, from a caller or from another daemon, and returns its id there. */
  #arriveAt(
    daemon: SimulatedDaemon,
    request: NamedRequest,
    callerTimeout: number,
    origin: RequestOrigin | null,
  ): number {
    const { name, route, key } = request;
    const requestId = this.#nextRequest;
    this.#nextRequest += 1;
    this.#names.set(this.#keyOf(daemon, requestId), name);
    this.#requests.set(this.#keyOf(daemon, requestId), request);
    this.#arrivedAt.set(this.#keyOf(daemon, requestId), this.#simulation.clock.now);
    this.#simulation.deliver(daemon, {
      kind: 'requestArrived',
      requestId,
      attemptId: `a-${requestId}`,
      method: 'GET',
      host: 'h.example',
      target: `/${route}/${name}`,
      callerTimeout,
      key,
      fingerprint: fingerprintOf(name),
      readDelay: 0,
      origin,
    });
    return requestId;
  }

  perform(daemon: SimulatedDaemon, effect: Effect): void {
    const { now } = this.#simulation.clock;
    if (effect.kind === 'forward') {
      this.#forward(daemon, effect);
    } else if (effect.kind === 'cancel') {
      this.#cancel(daemon, effect.requestId);
      this.proxied.cancel(daemon, effect.requestId);
    } else if (effect.kind === 'forwardToProxy') {
      this.proxied.forward(daemon, effect);
    } else if (effect.kind === 'withdraw') {
      this.#withdraw(daemon, effect.requestId);
    } else if (effect.kind === 'answer' && !this.proxied.answer(daemon, effect)) {
      const name = this.#names.get(this.#keyOf(daemon, effect.requestId)) ?? '';
      this.responses.push({ name, daemon, status: effect.status, reason: effect.reason, at: now });
      const waited = now - (this.#arrivedAt.get(this.#keyOf(daemon, effect.requestId)) ?? now);
      this.responseTimes.push({ status: effect.status, waited, retryAfter: effect.retryAfter });
    }
  }

  /** Ends a server's process, with all requests that it was processing. */
  crash(server: SimulatedServer, comesBack = true): void {
    const { clock } = this.#simulation;
    server.alive = false;
    server.refusesConnections = true;
    this.resetConnections(server);
    clock.schedule(ENTRY_LIFETIME, () => this.#simulation.removeEntry(server.id));
    if (comesBack) {
      const service = server.address.startsWith('10.0.3.') ? BALANCED_SERVICE : KEYED;
      const delay = RESTART_DELAY + this.#simulation.random.fraction() * RESTART_SPREAD;
      clock.schedule(delay, () => this.#simulation.addServer(server.address, service));
    }
  }

  /** Resets every connection of the given daemons, or of all, to a server; the requests that it was processing for them are lost. */
  resetConnections(server: SimulatedServer, daemons: readonly SimulatedDaemon[] | null = null): void {
    const running = this.#running.get(server) ?? [];
    const isLost = ({ daemon }: RunningAttempt): boolean => daemons === null || daemons.includes(daemon);
    const lost = running.filter(isLost);
    this.#running.set(
      server,
      running.filter((attempt) => !isLost(attempt)),
    );
    if (daemons === null) {
      this.#slotFreeAt.delete(server);
    }
    for (const attempt of lost) {
      this.lostCopies.push({ name: attempt.name, at: this.#simulation.clock.now });
      const reason = 'other side closed';
      this.#end(attempt, { kind: 'lost', reason, isResponseStarted: false, isClosedByServer: true });
    }
  }

  /** Lets daemons lose their paths to servers. */
  breakPaths(
    daemons: readonly SimulatedDaemon[],
    servers: readonly SimulatedServer[],
    fault: PathFault,
  ): void {
    for (const server of servers) {
      for (const daemon of daemons) {
        server.pathFaults.set(daemon.name, fault);
        this.#openConnections.add(`${daemon.name}/${server.id}`);
      }
      if (fault === 'reset' || fault === 'refused') {
        this.resetConnections(server, daemons);
      }
    }
  }

  /** Restores the paths between daemons and servers. */
  restorePaths(daemons: readonly SimulatedDaemon[], servers: readonly SimulatedServer[]): void {
    servers.forEach((server) => daemons.forEach(({ name }) => server.pathFaults.delete(name)));
  }

  #keyOf(daemon: SimulatedDaemon, requestId: number): string {
    return `${daemon.name}/${requestId}`;
  }

  #forward(daemon: SimulatedDaemon, effect: ForwardEffect): void {
    const name = this.#names.get(this.#keyOf(daemon, effect.requestId)) ?? '';
    const sentAt = daemon.clock.now();
    const { life } = daemon;
    const attempt: RunningAttempt = { name, daemon, life, effect, sentAt, isWritten: false, isOver: false };
    this.#attempts.set(this.#keyOf(daemon, effect.requestId), attempt);
    const server = this.#simulation.servers.findLast(({ address }) => address === effect.address);
    const pathFault = server?.pathFaults.get(daemon.name);
    if (server !== undefined && pathFault !== undefined) {
      this.#forwardOnBrokenPath(server, attempt, pathFault);
    } else if (server === undefined || !server.reachable || (!server.alive && !server.refusesConnections)) {
      this.#endAfter(CONNECT_TIMEOUT, attempt, { kind: 'notSent', reason: 'timeout', refused: false });
    } else if (!server.alive) {
      this.#endAfter(NETWORK_DELAY, attempt, { kind: 'notSent', reason: 'ECONNREFUSED', refused: true });
    } else {
      this.#simulation.clock.schedule(NETWORK_DELAY, () => this.#arrive(server, attempt));
    }
  }

  #forwardOnBrokenPath(server: SimulatedServer, attempt: RunningAttempt, fault: PathFault): void {
    const connection = `${attempt.daemon.name}/${server.id}`;
    const isIdle = this.#openConnections.has(connection);
    if (fault === 'onlyOpenConnections' && isIdle) {
      this.#openConnections.delete(connection);
      this.#simulation.clock.schedule(NETWORK_DELAY, () => this.#arrive(server, attempt));
    } else if (refusesNewConnections(fault)) {
      this.#endAfter(NETWORK_DELAY, attempt, { kind: 'notSent', reason: 'ECONNREFUSED', refused: true });
    } else if (fault === 'silent' && isIdle) {
      // Written to a connection on which nothing arrives any more.
      this.#openConnections.delete(connection);
      attempt.isWritten = true;
    } else {
      this.#endAfter(CONNECT_TIMEOUT, attempt, { kind: 'notSent', reason: 'timeout', refused: false });
    }
  }

  #arrive(server: SimulatedServer, attempt: RunningAttempt): void {
    const { clock, random } = this.#simulation;
    if (attempt.isOver) {
      return;
    }
    attempt.isWritten = true;
    const { effect, daemon, name } = attempt;
    if (!server.alive) {
      this.#end(attempt, { kind: 'lost', reason: 'reset', isResponseStarted: false, isClosedByServer: true });
      return;
    }
    const isKeyed = !server.address.startsWith('10.0.3.');
    const key = daemon.state.requests.get(effect.requestId)?.key ?? null;
    if (server.id !== effect.server || (isKeyed && key !== null && !server.holds(key))) {
      this.#endAfter(NETWORK_DELAY, attempt, {
        kind: 'rejected',
        status: 421,
        misdirected: true,
        load: null,
        attribution: 'id',
      });
      return;
    }
    this.deliveries.push({ name, server: server.id, daemon, at: clock.now });
    const backOff = this.backOffs.get(server);
    if (backOff !== undefined) {
      clock.schedule(NETWORK_DELAY, () => this.#reject(server, attempt, backOff));
      return;
    }
    const slots = this.#slotFreeAt.get(server) ?? Array.from({ length: SLOTS }, () => 0);
    this.#slotFreeAt.set(server, slots);
    const slot = slots.indexOf(Math.min(...slots));
    const startsAt = Math.max(clock.now, slots[slot] as number);
    if (startsAt - clock.now > MAX_QUEUE_TIME) {
      this.#end(attempt, { kind: 'lost', reason: 'reset', isResponseStarted: false, isClosedByServer: true });
      return;
    }
    const usualWork = SHORTEST_WORK + random.fraction() * (LONGEST_WORK - SHORTEST_WORK);
    const work = usualWork * this.slowdown;
    slots[slot] = startsAt + work;
    this.#running.set(server, [...(this.#running.get(server) ?? []), attempt]);
    clock.schedule(startsAt + work - clock.now, () => this.#finish(server, attempt));
  }

  #reject(server: SimulatedServer, attempt: RunningAttempt, backOff: number): void {
    const { daemon, life, effect } = attempt;
    this.#reportLimit(server, attempt, server.limit);
    if (daemon.life === life) {
      const notice = { leaving: false, rest: backOff };
      this.#simulation.deliver(daemon, { kind: 'serverNoticed', server: effect.server, notice });
    }
    this.#end(attempt, { kind: 'rejected', status: 503, misdirected: false, load: null, attribution: 'id' });
  }

  #finish(server: SimulatedServer, attempt: RunningAttempt): void {
    if (attempt.isOver || !server.alive || !server.reachable) {
      return;
    }
    const pathFault = server.pathFaults.get(attempt.daemon.name);
    if (pathFault === 'onlyOpenConnections') {
      this.#openConnections.add(`${attempt.daemon.name}/${server.id}`);
    } else if (pathFault !== undefined) {
      return;
    }
    if (this.crashingRequests.has(attempt.name)) {
      this.crashes.push({ name: attempt.name, server: server.id, at: this.#simulation.clock.now });
      this.crash(server);
      return;
    }
    const others = this.#running.get(server) ?? [];
    this.#running.set(
      server,
      others.filter((other) => other !== attempt),
    );
    const { name, daemon } = attempt;
    this.responses.push({ name, daemon, status: 200, reason: '', at: this.#simulation.clock.now });
    const { limit } = server;
    this.#simulation.clock.schedule(NETWORK_DELAY, () => this.#reportLimit(server, attempt, limit));
    this.proxied.answered(daemon, attempt.effect.requestId);
    this.#endAfter(NETWORK_DELAY, attempt, { kind: 'answered', status: 200, load: null });
  }

  /** Reports the rate limit in a response: the one that the server had when it produced the response, or none. */
  #reportLimit(server: SimulatedServer, attempt: RunningAttempt, limit: number | null): void {
    const { daemon, life, effect, sentAt } = attempt;
    if (daemon.life !== life || attempt.isOver || (limit === null && !effect.isLimited)) {
      return;
    }
    if (limit !== null) {
      const told = this.limitFirstReceivedAt.get(server.id) ?? new Map<SimulatedDaemon, number>();
      this.limitFirstReceivedAt.set(server.id, told);
      told.set(daemon, Math.min(told.get(daemon) ?? Number.POSITIVE_INFINITY, this.#simulation.clock.now));
    }
    this.#simulation.deliver(daemon, {
      kind: 'serverLimitRead',
      server: effect.server,
      reading: limit,
      sentAt,
    });
  }

  #withdraw(daemon: SimulatedDaemon, requestId: number): void {
    const attempt = this.#attempts.get(this.#keyOf(daemon, requestId));
    if (attempt?.isWritten === false) {
      this.#end(attempt, { kind: 'withdrawn', reason: 'no longer needed' });
    }
  }

  #cancel(daemon: SimulatedDaemon, requestId: number): void {
    const pending = this.#attempts.get(this.#keyOf(daemon, requestId));
    if (pending !== undefined) {
      pending.isOver = true;
    }
    for (const attempts of this.#running.values()) {
      const found = attempts.find(
        (attempt) => attempt.daemon === daemon && attempt.effect.requestId === requestId && !attempt.isOver,
      );
      if (found !== undefined) {
        found.isOver = true;
      }
    }
  }

  #endAfter(delay: number, attempt: RunningAttempt, result: AttemptResult): void {
    this.#simulation.clock.schedule(delay, () => this.#end(attempt, result));
  }

  /** Reports the end of an attempt to the daemon, unless the daemon has cancelled it or has restarted. */
  #end(attempt: RunningAttempt, result: AttemptResult): void {
    const { daemon, life, effect } = attempt;
    if (attempt.isOver || daemon.life !== life) {
      return;
    }
    attempt.isOver = true;
    const { requestId, attempt: number } = effect;
    this.#simulation.deliver(daemon, { kind: 'attemptEnded', requestId, attempt: number, result });
  }
}
