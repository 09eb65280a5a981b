/**
 * Servers that name limits in their answers, change them, and cease to; and the check of what they get from daemons that had been told. Drawn from a
 * stream of its own, so that the other troubles of a seed stay as they are.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { DaemonProcess } from './daemon-process.js';
import type { Promises } from './promises.js';
import type { ServerStandIn } from './server-stand-in.js';

const SECOND = 1_000;
/** What servers name, as they write it; what can't be read leaves the limit before it in force. */
const LIMITS = ['3', '1.5', '.5', '0', '4e0', '2.5', 'few', '-1'];
/** A limit holds over any time of this length, from so long on after it was first named. */
const WINDOW = 4 * SECOND;
const CONTACT = 3 * SECOND;
const ROOM_FACTOR = 1.5;
const ROOM = 5;
/** Twice the time that is allowed: this process and the daemons share a machine that may be busy. */
const ON_ITS_WAY = 2 * 500;
const SHORTEST_LIMIT = 2_000;
const LONGEST_LIMIT = 9_000;
const LONGEST_GAP = 2_500;

/** What the soak does for these troubles. */
export interface LimitSurroundings {
  readonly daemons: readonly DaemonProcess[];
  /** Servers that don't leave. */
  staying(): ServerStandIn[];
}

interface Arrival {
  readonly at: number;
  readonly daemon: DaemonProcess;
}

/** What the checks know of a server with a limit. */
interface LimitedServer {
  readonly namedAt: number;
  /** The highest that it has named. */
  highest: number;
  readonly told: Map<DaemonProcess, number>;
  arrivals: Arrival[];
  isBroken: boolean;
}

export class LimitTroubles {
  readonly #promises: Promises;
  readonly #surroundings: LimitSurroundings;
  readonly #random: SeededRandom;
  readonly #limited = new Map<ServerStandIn, LimitedServer>();

  constructor(seed: number, promises: Promises, surroundings: LimitSurroundings) {
    this.#promises = promises;
    this.#surroundings = surroundings;
    this.#random = new SeededRandom(seed + 191_000);
  }

  /** Draws and performs troubles for some milliseconds; resolves when the last limit has ended. */
  async run(length: number): Promise<void> {
    const troubles: Promise<void>[] = [];
    for (let at = 0; at < length;) {
      troubles.push(this.#limit());
      const gap = 200 + this.#upTo(LONGEST_GAP);
      await pause(gap);
      at += gap;
    }
    await Promise.all(troubles);
  }

  #upTo(limit: number): number {
    return Math.floor(this.#random.fraction() * limit);
  }

  /** A server names a limit, perhaps others after it, and none at last. */
  async #limit(): Promise<void> {
    const candidates = this.#surroundings.staying().filter(({ limit }) => limit === null);
    const server = candidates[this.#upTo(candidates.length)];
    if (server === undefined) {
      return;
    }
    const ends = performance.now() + SHORTEST_LIMIT + this.#upTo(LONGEST_LIMIT - SHORTEST_LIMIT);
    const limited = {
      namedAt: performance.now(),
      highest: 0,
      told: new Map(),
      arrivals: [],
      isBroken: false,
    };
    this.#limited.set(server, limited);
    while (performance.now() < ends) {
      this.#name(server, limited);
      await pause(300 + this.#upTo(LONGEST_LIMIT));
    }
    server.limit = null;
    this.#limited.delete(server);
  }

  #name(server: ServerStandIn, limited: LimitedServer): void {
    const text = LIMITS[this.#upTo(LIMITS.length)] as string;
    if (!isReadable(text) && limited.highest === 0) {
      // Nothing that can be read has been named yet.
      server.limit = '3';
      limited.highest = 3;
      return;
    }
    server.limit = text;
    limited.highest = isReadable(text) ? Math.max(limited.highest, Number(text)) : limited.highest;
  }

  #daemonOf(attemptId: string): DaemonProcess | undefined {
    return this.#surroundings.daemons.find(({ name }) => attemptId.startsWith(`${name}-`));
  }

  /** A server answers a request, and may name a limit. */
  onAnswer(server: ServerStandIn, attemptId: string): void {
    const limited = this.#limited.get(server);
    const daemon = this.#daemonOf(attemptId);
    // What can't be read tells of no limit: daemons that have had nothing else know of none.
    if (limited === undefined || daemon === undefined || !isReadable(server.limit)) {
      return;
    }
    const toldAt = limited.told.get(daemon);
    if (toldAt === undefined || daemon.troubledAt >= toldAt) {
      limited.told.set(daemon, performance.now());
    }
  }

  /** A request reached a server. */
  onArrival(server: ServerStandIn, attemptId: string): void {
    const limited = this.#limited.get(server);
    const daemon = this.#daemonOf(attemptId);
    const now = performance.now();
    const toldAt = daemon === undefined ? undefined : limited?.told.get(daemon);
    if (limited === undefined || daemon === undefined || toldAt === undefined || now < toldAt + ON_ITS_WAY) {
      return;
    }
    limited.arrivals = limited.arrivals.filter(({ at }) => now - at <= WINDOW);
    limited.arrivals.push({ at: now, daemon });
    // A daemon that has had trouble since is excused for what it sent.
    const counted = limited.arrivals.filter((arrival) => arrival.daemon.troubledAt < arrival.at - WINDOW);
    const allowed = ((limited.highest * WINDOW) / SECOND) * ROOM_FACTOR + ROOM;
    if (counted.length > allowed && now > limited.namedAt + CONTACT && !limited.isBroken) {
      limited.isBroken = true;
      const told = `${counted.length} requests in 4 s at ${server.id}, which named ${limited.highest} a second`;
      this.#promises.fail('a server with a limit gets no more', told);
    }
  }
}

/** Whether a limit is a number of requests a second. */
function isReadable(text: string | null): boolean {
  return text !== null && Number(text) >= 0;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
