/** Requests under which each server ends that runs them, and the check that they reach few servers once that is known. */
import type { Promises } from './promises.js';
import type { ServerStandIn } from './server-stand-in.js';

/** A request under which this many servers have ended ... */
const CRASHES = 3;
/** ... is sent so often at most, by all daemons that are in touch, ... */
const LATER_SENDS = 3;
/** ... from this long after the last of these ends on, in ms. */
const CONTACT = 3_000;

/** What the soak does for the requests. */
export interface DeadlySurroundings {
  /** Whether the daemon that sent a request is in touch now. */
  isInTouch(attemptId: string): boolean;
  /** Brings a server back that has crashed. */
  replace(server: ServerStandIn): Promise<void>;
}

/** Three ends and three sends more, 1.2 s to tell each end, and the time that a caller takes to come back. */
const LONGEST_UNREST = 25_000;

interface Toll {
  readonly crashedAt: number[];
  laterSends: number;
}

export class DeadlyRequests {
  readonly #promises: Promises;
  readonly #surroundings: DeadlySurroundings;
  readonly #tolls = new Map<string, Toll>();
  #lastEndAt = Number.NEGATIVE_INFINITY;
  readonly #crashed = new Set<ServerStandIn>();

  constructor(promises: Promises, surroundings: DeadlySurroundings) {
    this.#promises = promises;
    this.#surroundings = surroundings;
  }

  /** A server has run a deadly request, and ends. */
  async crash(server: ServerStandIn, service: string, attemptId: string): Promise<void> {
    if (this.#crashed.has(server)) {
      return;
    }
    this.#crashed.add(server);
    server.crash();
    this.#lastEndAt = performance.now();
    this.#tollOf(service).crashedAt.push(performance.now());
    this.#checkLater(service, attemptId);
    await this.#surroundings.replace(server);
  }

  /**
   * Waits until no server has ended for a time, in ms. A request that all daemons have forgotten with their restarts ends three servers again,
   * and the keys of the last one are not served at once. Ends that never cease break the promise.
   */
  async untilQuiet(time: number): Promise<void> {
    const deadline = performance.now() + LONGEST_UNREST;
    while (performance.now() - this.#lastEndAt < time) {
      if (performance.now() > deadline) {
        this.#promises.fail(
          'servers cease to end',
          `the last end was ${performance.now() - this.#lastEndAt} ms ago`,
        );
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  #tollOf(service: string): Toll {
    const toll = this.#tolls.get(service) ?? { crashedAt: [], laterSends: 0 };
    this.#tolls.set(service, toll);
    return toll;
  }

  /** Each send that comes too late ends a server. */
  #checkLater(service: string, attemptId: string): void {
    const toll = this.#tollOf(service);
    const last = toll.crashedAt[CRASHES - 1];
    const isLater = last !== undefined && performance.now() > last + CONTACT;
    if (!isLater || !this.#surroundings.isInTouch(attemptId)) {
      return;
    }
    toll.laterSends += 1;
    if (toll.laterSends > LATER_SENDS) {
      const ends = toll.crashedAt.length;
      this.#promises.fail(
        'a request that ends servers is kept from them',
        `${attemptId} (${service}): ${ends} ended`,
      );
    }
  }

  /** How many servers have ended. */
  get ends(): number {
    return this.#crashed.size;
  }
}
