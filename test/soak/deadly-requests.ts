/** Tracks requests that crash each server that runs them, and checks that they reach few servers once the daemons know of the crashes. */
import type { Promises } from './promises.js';
import type { ServerStandIn } from './server-stand-in.js';

/** Number of crashes under one request after which the daemons must keep it from servers. */
const CRASHES = 3;
/** Most attempts at such a request that all undisturbed daemons together may send after `PROPAGATION_MILLISECONDS`. */
const LATER_SENDS = 3;
/** Milliseconds after crash number `CRASHES_BEFORE_QUARANTINE` from which further attempts are counted. */
const CONTACT = 3_000;

/** Functions of the soak that `CrashingRequests` needs. */
export interface DeadlySurroundings {
  /** Whether the daemon that sent an attempt, and the store, have had no fault for `UNDISTURBED_MILLISECONDS`. */
  isInTouch(attemptId: string): boolean;
  /** Starts a server in place of one that crashed. */
  replace(server: ServerStandIn): Promise<void>;
}

/** Longest time for which crashes may go on: three crashes and three later attempts, 1.2 s to propagate each crash, and the interval at which the caller repeats the request. */
const LONGEST_UNREST = 25_000;

interface Toll {
  readonly crashedAt: number[];
  laterAttempts: number;
}

export class DeadlyRequests {
  readonly #promises: Promises;
  readonly #environment: DeadlySurroundings;
  readonly #tallies = new Map<string, Toll>();
  #lastCrashAt = Number.NEGATIVE_INFINITY;
  readonly #crashedServers = new Set<ServerStandIn>();

  constructor(promises: Promises, environment: DeadlySurroundings) {
    this.#promises = promises;
    this.#environment = environment;
  }

  /** Crashes a server that has run a crashing request, and replaces it. */
  async crash(server: ServerStandIn, service: string, attemptId: string): Promise<void> {
    if (this.#crashedServers.has(server)) {
      return;
    }
    this.#crashedServers.add(server);
    server.crash();
    this.#lastCrashAt = performance.now();
    this.#tallyOf(service).crashedAt.push(performance.now());
    this.#checkLaterAttempt(service, attemptId);
    await this.#environment.replace(server);
  }

  /**
   * Waits until no server has crashed for `time` milliseconds. After all daemons have restarted, none remembers the crashes, and a request crashes three
   * servers again; the keys of the last of them are not served at once. Crashes that never cease break the promise.
   */
  async untilQuiet(time: number): Promise<void> {
    const deadline = performance.now() + LONGEST_UNREST;
    while (performance.now() - this.#lastCrashAt < time) {
      if (performance.now() > deadline) {
        this.#promises.fail(
          'servers cease to end',
          `the last crash was ${performance.now() - this.#lastCrashAt} ms ago`,
        );
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  #tallyOf(service: string): Toll {
    const tally = this.#tallies.get(service) ?? { crashedAt: [], laterAttempts: 0 };
    this.#tallies.set(service, tally);
    return tally;
  }

  /** Counts an attempt that reached a server after the crashes must be known to all daemons. Each one crashes a server. */
  #checkLaterAttempt(service: string, attemptId: string): void {
    const tally = this.#tallyOf(service);
    const last = tally.crashedAt[CRASHES - 1];
    const isLater = last !== undefined && performance.now() > last + CONTACT;
    if (!isLater || !this.#environment.isInTouch(attemptId)) {
      return;
    }
    tally.laterAttempts += 1;
    if (tally.laterAttempts > LATER_SENDS) {
      const crashCount = tally.crashedAt.length;
      this.#promises.fail(
        'a request that ends servers is kept from them',
        `${attemptId} (${service}): ${crashCount} servers crashed`,
      );
    }
  }

  /** Number of servers that crashed. */
  get crashCount(): number {
    return this.#crashedServers.size;
  }
}
