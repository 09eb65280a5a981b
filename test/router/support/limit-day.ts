/** Days in virtual time on which servers name limits: who asks for what, and what the servers get. */
import { SeededRandom } from '../../../src/core/random.js';
import type { ModelServer } from './model-server.js';
import { PLAIN, RequestTraffic, type Send } from './request-traffic.js';
import { type Daemon, RouterWorld, SERVICE } from './router-world.js';

/** Everything is placed and quiet by then. */
export const SETTLED = 6_000;
const FIRST_REQUEST = 2_000;
/** Limits are held over any time of this length, with this much room for what can't be known in time. */
const WINDOW = 4_000;
const SECOND = 1_000;
const ROOM_FACTOR = 1.5;
const ROOM = 5;
/** Limits are held from this long after they were first named. */
const CONTACT = 3_000;
/** What a daemon had on its way when it was told doesn't count. */
const ON_ITS_WAY = 500;

/** A day's size and load. */
export interface LimitDayOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly servers: number;
  readonly plainServers?: number;
  /** Requests a second of all daemons together. */
  readonly demand: number;
  /** Daemons that get them; by default all. */
  readonly asked?: number;
  /** Requests are for these keys only; by default for all that are watched. */
  readonly keys?: readonly number[];
  /** The service without keys is asked. */
  readonly isPlain?: boolean;
}

const WATCHED = Array.from({ length: 128 }, (_, index) => index * 512 + 7);

/** Requests that a server with a limit may get in any window. */
export function allowed(limit: number): number {
  return Math.floor(((limit * WINDOW) / SECOND) * ROOM_FACTOR + ROOM);
}

/** The most sends in any window. */
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
  readonly #namedAt = new Map<ModelServer, number>();

  constructor(options: LimitDayOptions) {
    const { seed, daemons, servers, plainServers = 0, asked = daemons } = options;
    this.#options = options;
    this.#random = new SeededRandom(seed);
    this.world = new RouterWorld(seed, daemons, servers);
    this.traffic = new RequestTraffic(this.world, plainServers);
    const interval = (asked * SECOND) / options.demand;
    this.world.daemons.slice(0, asked).forEach((daemon) => {
      this.world.clock.after(FIRST_REQUEST + this.#random.fraction() * interval, () =>
        this.#ask(daemon, interval),
      );
    });
    this.world.clock.runUntil(SETTLED);
  }

  #ask(daemon: Daemon, interval: number): void {
    const { keys = WATCHED, isPlain = false } = this.#options;
    const key = keys[Math.floor(this.#random.fraction() * keys.length)] as number;
    this.traffic.ask(daemon, { name: `k${key}`, route: isPlain ? PLAIN : SERVICE, key });
    // Callers come by chance, not in step.
    const gap = -Math.log(1 - this.#random.fraction()) * interval;
    this.world.clock.after(gap, () => this.#ask(daemon, interval));
  }

  get now(): number {
    return this.world.clock.now;
  }

  run(length: number): void {
    this.world.clock.runUntil(this.now + length);
  }

  /** A server names a limit from now on; null: it names none. */
  limit(server: ModelServer, rate: number | null): void {
    server.limit = rate;
    if (rate !== null && !this.#namedAt.has(server)) {
      this.#namedAt.set(server, this.now);
    }
  }

  /** Requests that reached a server since a moment. */
  sendsTo(server: ModelServer, since = 0): Send[] {
    return this.traffic.sends.filter(({ server: id, at }) => id === server.id && at >= since);
  }

  /** The most requests in any window that counts, from daemons that had been told. */
  counted(server: ModelServer): number {
    const told = this.traffic.toldLimits.get(server.id);
    const namedAt = this.#namedAt.get(server) ?? Number.POSITIVE_INFINITY;
    const sends = this.sendsTo(server, namedAt + CONTACT - WINDOW).filter(
      ({ daemon, at }) => at >= (told?.get(daemon) ?? Number.POSITIVE_INFINITY) + ON_ITS_WAY,
    );
    return busiestWindow(sends);
  }

  /** Share of the requests since a moment that were answered. */
  served(since: number): number {
    const told = this.traffic.told.filter(({ at }) => at >= since);
    return told.filter(({ status }) => status === 200).length / told.length;
  }
}
