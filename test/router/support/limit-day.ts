/** Simulation of servers that announce rate limits: sends callers' requests and counts what reaches each server. */
import { SeededRandom } from '../../../src/core/random.js';
import type { ModelServer } from './model-server.js';
import { PLAIN, RequestTraffic, type Send } from './request-traffic.js';
import { type Daemon, RouterWorld, SERVICE } from './router-world.js';

/** Virtual time in milliseconds at which ownership is settled. */
export const SETTLED = 6_000;
const FIRST_REQUEST = 2_000;
/** Limits are checked over each window of this many milliseconds, with a tolerance for what daemons can't know in time. */
const WINDOW = 4_000;
const SECOND = 1_000;
const ROOM_FACTOR = 1.5;
const ROOM = 5;
/** Limits are checked from this many milliseconds after the server first announced one. */
const CONTACT = 3_000;
/** Requests that a daemon had in flight when it first received the limit, within this many milliseconds, don't count. */
const ON_ITS_WAY = 500;

/** Size and load of a simulation. */
export interface LimitDayOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly servers: number;
  readonly plainServers?: number;
  /** Requests a second to all daemons together. */
  readonly demand: number;
  /** Number of daemons that receive requests; by default all. */
  readonly asked?: number;
  /** Keys of the requests; by default all checked keys. */
  readonly keys?: readonly number[];
  /** Whether requests go to the balanced service instead of the keyed one. */
  readonly isPlain?: boolean;
}

const WATCHED = Array.from({ length: 128 }, (_, index) => index * 512 + 7);

/** Returns how many requests a server with the given rate limit may receive in any window. */
export function allowed(limit: number): number {
  return Math.floor(((limit * WINDOW) / SECOND) * ROOM_FACTOR + ROOM);
}

/** Returns the largest number of requests in any window. */
export function busiestWindow(sends: readonly Send[]): number {
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

export class LimitDay {
  readonly world: RouterWorld;
  readonly traffic: RequestTraffic;
  readonly #options: LimitDayOptions;
  readonly #random: SeededRandom;
  readonly #limitedSince = new Map<ModelServer, number>();

  constructor(options: LimitDayOptions) {
    const { seed, daemons, servers, plainServers = 0, asked = daemons } = options;
    this.#options = options;
    this.#random = new SeededRandom(seed);
    this.world = new RouterWorld(seed, daemons, servers);
    this.traffic = new RequestTraffic(this.world, plainServers);
    const interval = (asked * SECOND) / options.demand;
    this.world.daemons.slice(0, asked).forEach((daemon) => {
      this.world.clock.after(FIRST_REQUEST + this.#random.fraction() * interval, () =>
        this.#sendRequests(daemon, interval),
      );
    });
    this.world.clock.runUntil(SETTLED);
  }

  #sendRequests(daemon: Daemon, interval: number): void {
    const { keys = WATCHED, isPlain = false } = this.#options;
    const key = keys[Math.floor(this.#random.fraction() * keys.length)] as number;
    this.traffic.ask(daemon, { name: `k${key}`, route: isPlain ? PLAIN : SERVICE, key });
    // Exponentially distributed gaps: callers are independent of each other.
    const gap = -Math.log(1 - this.#random.fraction()) * interval;
    this.world.clock.after(gap, () => this.#sendRequests(daemon, interval));
  }

  get now(): number {
    return this.world.clock.now;
  }

  run(length: number): void {
    this.world.clock.runUntil(this.now + length);
  }

  /** Sets the rate limit that a server announces from now on; null: none. */
  limit(server: ModelServer, rate: number | null): void {
    server.limit = rate;
    if (rate !== null && !this.#limitedSince.has(server)) {
      this.#limitedSince.set(server, this.now);
    }
  }

  /** Returns the requests that have reached a server since the given time. */
  sendsTo(server: ModelServer, since = 0): Send[] {
    return this.traffic.sends.filter(({ server: id, at }) => id === server.id && at >= since);
  }

  /** Returns the largest number of requests in any checked window from daemons that had received the limit. */
  counted(server: ModelServer): number {
    const limitReceivedAt = this.traffic.toldLimits.get(server.id);
    const limitedSince = this.#limitedSince.get(server) ?? Number.POSITIVE_INFINITY;
    const sends = this.sendsTo(server, limitedSince + CONTACT - WINDOW).filter(
      ({ daemon, at }) => at >= (limitReceivedAt?.get(daemon) ?? Number.POSITIVE_INFINITY) + ON_ITS_WAY,
    );
    return busiestWindow(sends);
  }

  /** Returns the share of responses since the given time that a server answered with status 200. */
  served(since: number): number {
    const responses = this.traffic.told.filter(({ at }) => at >= since);
    return responses.filter(({ status }) => status === 200).length / responses.length;
  }
}
