/**
 * Lets servers announce rate limits in responses, change them and withdraw them, and checks the request rate of the daemons that have received a limit.
 * Uses a random sequence of its own, so that the other faults of a seed do not depend on these.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { DaemonProcess } from './daemon-process.js';
import type { PromiseChecker } from './promise-checker.js';
import type { FakeServer } from './fake-server.js';
import { earliestArrival, now, pause } from './soak-clock.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Limits as servers write them in the header. A malformed one leaves the previous limit in force. */
const LIMIT_TEXTS = ['3', '1.5', '.5', '0', '4e0', '2.5', 'few', '-1'];
/** Length of the sliding window in which requests are counted against a limit. */
const WINDOW_MILLISECONDS = 4 * MILLISECONDS_PER_SECOND;
/** Time after a server's first limit from which the limit is checked. */
const PROPAGATION_MILLISECONDS = 3 * MILLISECONDS_PER_SECOND;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA_REQUESTS = 5;
/** Time for which requests may still be on their way when a daemon has received a limit. */
const IN_FLIGHT_MILLISECONDS = 500;
const SHORTEST_LIMIT_MILLISECONDS = 2_000;
const LONGEST_LIMIT_MILLISECONDS = 9_000;
const LONGEST_GAP_MILLISECONDS = 2_500;

/** Daemons and servers of the run. */
export interface LimitFaultEnvironment {
  readonly daemons: readonly DaemonProcess[];
  /** Returns the servers that are not draining. */
  activeServers(): FakeServer[];
}

interface Arrival {
  readonly at: number;
  readonly daemon: DaemonProcess;
}

/** State of the check of one server with a limit. */
interface LimitedServer {
  readonly limitedSince: number;
  /** Highest limit that the server announced, in requests per second. */
  highestLimit: number;
  /** Time at which each daemon first received the limit in a response since its last fault. */
  readonly informedAt: Map<DaemonProcess, number>;
  arrivals: Arrival[];
  isReported: boolean;
}

export class LimitFaults {
  readonly #promises: PromiseChecker;
  readonly #environment: LimitFaultEnvironment;
  readonly #random: SeededRandom;
  readonly #limited = new Map<FakeServer, LimitedServer>();

  constructor(seed: number, promises: PromiseChecker, environment: LimitFaultEnvironment) {
    this.#promises = promises;
    this.#environment = environment;
    this.#random = new SeededRandom(seed + 191_000);
  }

  /** Lets servers announce limits for `length` milliseconds, and resolves when the last limit has been withdrawn. */
  async run(length: number): Promise<void> {
    const announcements: Promise<void>[] = [];
    for (let at = 0; at < length;) {
      announcements.push(this.#limitServer());
      const gap = 200 + this.#randomBelow(LONGEST_GAP_MILLISECONDS);
      await pause(gap);
      at += gap;
    }
    await Promise.all(announcements);
  }

  #randomBelow(limit: number): number {
    return Math.floor(this.#random.fraction() * limit);
  }

  /** Lets one server announce a limit, change it a few times at most, and withdraw it. */
  async #limitServer(): Promise<void> {
    const candidates = this.#environment.activeServers().filter(({ limit }) => limit === null);
    const server = candidates[this.#randomBelow(candidates.length)];
    if (server === undefined) {
      return;
    }
    const endsAt =
      now() +
      SHORTEST_LIMIT_MILLISECONDS +
      this.#randomBelow(LONGEST_LIMIT_MILLISECONDS - SHORTEST_LIMIT_MILLISECONDS);
    const limited = {
      limitedSince: now(),
      highestLimit: 0,
      informedAt: new Map(),
      arrivals: [],
      isReported: false,
    };
    this.#limited.set(server, limited);
    while (now() < endsAt) {
      this.#announceLimit(server, limited);
      await pause(300 + this.#randomBelow(LONGEST_LIMIT_MILLISECONDS));
    }
    server.limit = null;
    this.#limited.delete(server);
  }

  #announceLimit(server: FakeServer, limited: LimitedServer): void {
    const text = LIMIT_TEXTS[this.#randomBelow(LIMIT_TEXTS.length)] as string;
    if (!isWellFormed(text) && limited.highestLimit === 0) {
      // The first limit has to be well-formed: a malformed one would leave no limit in force.
      server.limit = '3';
      limited.highestLimit = 3;
      return;
    }
    server.limit = text;
    limited.highestLimit = isWellFormed(text)
      ? Math.max(limited.highestLimit, Number(text))
      : limited.highestLimit;
  }

  #daemonOf(attemptId: string): DaemonProcess | undefined {
    return this.#environment.daemons.find(({ name }) => attemptId.startsWith(`${name}-`));
  }

  /** Records that a daemon has received a limit in a response. */
  onAnswer(server: FakeServer, attemptId: string): void {
    const limited = this.#limited.get(server);
    const daemon = this.#daemonOf(attemptId);
    // A malformed limit is ignored: daemons that have received no other limit know of none.
    if (limited === undefined || daemon === undefined || !isWellFormed(server.limit)) {
      return;
    }
    const daemonInformedAt = limited.informedAt.get(daemon);
    if (daemonInformedAt === undefined || daemon.lastFaultAt >= daemonInformedAt) {
      limited.informedAt.set(daemon, now());
    }
  }

  /** Counts a request that reached a server, and checks the number in the window against the limit. */
  onArrival(server: FakeServer, attemptId: string): void {
    const limited = this.#limited.get(server);
    const daemon = this.#daemonOf(attemptId);
    const arrivedAt = earliestArrival();
    const daemonInformedAt = daemon === undefined ? undefined : limited?.informedAt.get(daemon);
    if (
      limited === undefined ||
      daemon === undefined ||
      daemonInformedAt === undefined ||
      arrivedAt < daemonInformedAt + IN_FLIGHT_MILLISECONDS
    ) {
      return;
    }
    limited.arrivals = limited.arrivals.filter(({ at }) => arrivedAt - at <= WINDOW_MILLISECONDS);
    limited.arrivals.push({ at: arrivedAt, daemon });
    // Requests of daemons that had a fault in the window before a request arrived, or since, are not counted.
    const countedArrivals = limited.arrivals.filter(
      (arrival) => arrival.daemon.lastFaultAt < arrival.at - WINDOW_MILLISECONDS,
    );
    const maxArrivals =
      ((limited.highestLimit * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND) * ALLOWED_FACTOR +
      ALLOWED_EXTRA_REQUESTS;
    if (
      countedArrivals.length > maxArrivals &&
      arrivedAt > limited.limitedSince + PROPAGATION_MILLISECONDS &&
      !limited.isReported
    ) {
      limited.isReported = true;
      const detail = `${countedArrivals.length} requests in 4 s at ${server.id}, which announced a limit of ${limited.highestLimit} per second`;
      this.#promises.fail('a server with a limit gets no more', detail);
    }
  }
}

/** Whether a limit is well-formed: a number of requests per second that is not negative. */
function isWellFormed(text: string | null): boolean {
  return text !== null && Number(text) >= 0;
}
