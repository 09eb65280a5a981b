/** Simulation of servers that announce rate limits: sends callers' requests and counts what reaches each server. */
import { SeededRandom } from '../../../src/core/random.js';
import type { SimulatedServer } from './simulated-server.js';
import { BALANCED_SERVICE, RequestTraffic, type Delivery } from './request-traffic.js';
import { type SimulatedDaemon, RouterSimulation, SERVICE } from './router-simulation.js';

/** Virtual time in milliseconds at which ownership is settled. */
export const SETTLED_AT = 6_000;
const FIRST_REQUEST = 2_000;
/** Limits are checked over each window of this many milliseconds, with a tolerance for what daemons can't know in time. */
const WINDOW = 4_000;
const SECOND = 1_000;
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE = 5;
/** Limits are checked from this many milliseconds after the server first announced one. */
const PROPAGATION_TIME = 3_000;
/** Requests that a daemon had in flight when it first received the limit, within this many milliseconds, don't count. */
const IN_FLIGHT_TIME = 500;

/** Size and load of a simulation. */
export interface LimitSimulationOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly servers: number;
  readonly balancedServers?: number;
  /** Requests a second to all daemons together. */
  readonly demand: number;
  /** Number of daemons that receive requests; by default all. */
  readonly requestedDaemons?: number;
  /** Keys of the requests; by default all checked keys. */
  readonly keys?: readonly number[];
  /** Whether requests go to the balanced service instead of the keyed one. */
  readonly usesBalancedService?: boolean;
}

const DEFAULT_KEYS = Array.from({ length: 128 }, (_, index) => index * 512 + 7);

/** Returns how many requests a server with the given rate limit may receive in any window. */
export function maxRequestsInWindow(limit: number): number {
  return Math.floor(((limit * WINDOW) / SECOND) * TOLERANCE_FACTOR + TOLERANCE);
}

/** Returns the largest number of requests in any window. */
export function countInBusiestWindow(sends: readonly Delivery[]): number {
  const times = sends.map(({ at }) => at).sort((left, right) => left - right);
  let busiest = 0;
  let first = 0;
  times.forEach((time, index) => {
    while (time - (times[first] as number) > WINDOW) {
      first += 1;
    }
    busiest = Math.max(busiest, index - first + 1);
  });
  return busiest;
}

export class LimitSimulation {
  readonly simulation: RouterSimulation;
  readonly traffic: RequestTraffic;
  readonly #options: LimitSimulationOptions;
  readonly #random: SeededRandom;
  readonly #limitedSince = new Map<SimulatedServer, number>();

  constructor(options: LimitSimulationOptions) {
    const {
      seed,
      daemons,
      servers,
      balancedServers: plainServers = 0,
      requestedDaemons: asked = daemons,
    } = options;
    this.#options = options;
    this.#random = new SeededRandom(seed);
    this.simulation = new RouterSimulation(seed, daemons, servers);
    this.traffic = new RequestTraffic(this.simulation, plainServers);
    const interval = (asked * SECOND) / options.demand;
    this.simulation.daemons.slice(0, asked).forEach((daemon) => {
      this.simulation.clock.schedule(FIRST_REQUEST + this.#random.fraction() * interval, () =>
        this.#sendRequests(daemon, interval),
      );
    });
    this.simulation.clock.runUntil(SETTLED_AT);
  }

  #sendRequests(daemon: SimulatedDaemon, interval: number): void {
    const { keys = DEFAULT_KEYS, usesBalancedService = false } = this.#options;
    const key = keys[Math.floor(this.#random.fraction() * keys.length)] as number;
    this.traffic.sendRequest(daemon, {
      name: `k${key}`,
      route: usesBalancedService ? BALANCED_SERVICE : SERVICE,
      key,
    });
    // Exponentially distributed gaps: callers are independent of each other.
    const gap = -Math.log(1 - this.#random.fraction()) * interval;
    this.simulation.clock.schedule(gap, () => this.#sendRequests(daemon, interval));
  }

  get now(): number {
    return this.simulation.clock.now;
  }

  run(length: number): void {
    this.simulation.clock.runUntil(this.now + length);
  }

  /** Sets the rate limit that a server announces from now on; null: none. */
  limit(server: SimulatedServer, rate: number | null): void {
    server.limit = rate;
    if (rate !== null && !this.#limitedSince.has(server)) {
      this.#limitedSince.set(server, this.now);
    }
  }

  /** Returns the requests that have reached a server since the given time. */
  deliveriesTo(server: SimulatedServer, since = 0): Delivery[] {
    return this.traffic.deliveries.filter(({ server: id, at }) => id === server.id && at >= since);
  }

  /** Returns the largest number of requests in any checked window from daemons that had received the limit. */
  counted(server: SimulatedServer): number {
    const limitReceivedAt = this.traffic.limitFirstReceivedAt.get(server.id);
    const limitedSince = this.#limitedSince.get(server) ?? Number.POSITIVE_INFINITY;
    const sends = this.deliveriesTo(server, limitedSince + PROPAGATION_TIME - WINDOW).filter(
      ({ daemon, at }) => at >= (limitReceivedAt?.get(daemon) ?? Number.POSITIVE_INFINITY) + IN_FLIGHT_TIME,
    );
    return countInBusiestWindow(sends);
  }

  /** Returns the share of responses since the given time that a server answered with status 200. */
  answeredShare(since: number): number {
    const responses = this.traffic.responses.filter(({ at }) => at >= since);
    return responses.filter(({ status }) => status === 200).length / responses.length;
  }
}
