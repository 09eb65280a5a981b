/**
 * Servers that say in their answers that they leave or want rest, that come back under their id, and entries of other writers; and the checks
 * of what daemons owe to such servers. Drawn from a stream of its own, so that the other troubles of a seed stay as they are.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { DaemonProcess } from './daemon-process.js';
import { TIMING } from './deployment.js';
import type { Promises } from './promises.js';
import type { ServerStandIn } from './server-stand-in.js';
import type { StoreStandIn } from './store-stand-in.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** As for the other bounds: this process and the daemons share a machine that may be busy. */
const LENIENCE = 2;
const LEAVE = LENIENCE * TIMING.drain * MILLISECONDS_PER_SECOND;
/** A server that leaves is gone this long after the first answer that said so. */
const SERVES_ON = 9_000;
/** What was on its way when rest was asked for. */
const ON_ITS_WAY = LENIENCE * 500;
const MOST_IN_REST = 2;
const REST_SECONDS = 2.5;
/** It rejects everything for so long. */
const ILL = 6_000;
const LONGEST_REBIRTH = 700;
const ODD_ENTRY_STAYS = 1_500;
const LONGEST_GAP = 2_500;

/** What the soak does for these troubles. */
export interface NoticeSurroundings {
  readonly store: StoreStandIn;
  readonly daemons: readonly DaemonProcess[];
  /** Servers that don't leave. */
  staying(): ServerStandIn[];
  addLike(server: ServerStandIn): Promise<void>;
  /** Starts it again at its address, under its id; its entry never goes. */
  restart(server: ServerStandIn, after: number): Promise<void>;
  /** It is no longer asked of any other trouble. */
  retire(server: ServerStandIn): void;
  putEntry(server: ServerStandIn): void;
}

interface Rest {
  readonly from: number;
  readonly until: number;
  arrivals: number;
}

export class NoticeTroubles {
  readonly #promises: Promises;
  readonly #surroundings: NoticeSurroundings;
  readonly #random: SeededRandom;
  /** When each daemon was first told that a server leaves, by server and daemon. */
  readonly #told = new Map<ServerStandIn, Map<string, number>>();
  readonly #rests = new Map<ServerStandIn, Map<string, Rest>>();
  #odd = 0;

  constructor(seed: number, promises: Promises, surroundings: NoticeSurroundings) {
    this.#promises = promises;
    this.#surroundings = surroundings;
    this.#random = new SeededRandom(seed + 77_000);
  }

  /** Draws and performs troubles for some milliseconds; resolves when the last one has ended. */
  async run(length: number): Promise<void> {
    const troubles: Promise<void>[] = [];
    for (let at = 0; at < length;) {
      troubles.push(this.#perform());
      const gap = 300 + this.#upTo(LONGEST_GAP);
      await pause(gap);
      at += gap;
    }
    await Promise.all(troubles);
  }

  #upTo(limit: number): number {
    return Math.floor(this.#random.fraction() * limit);
  }

  async #perform(): Promise<void> {
    const kind = this.#upTo(4);
    const candidates = this.#surroundings.staying().filter(({ isResting }) => !isResting);
    const server = candidates[this.#upTo(candidates.length)];
    if (server === undefined) {
      return;
    }
    switch (kind) {
      case 0:
        return this.#leave(server);
      case 1:
        return this.#rest(server);
      case 2:
        return this.#surroundings.restart(server, this.#upTo(LONGEST_REBIRTH));
      default:
        return this.#writeOddly(server);
    }
  }

  /** Its answers say so; its entry never does, and goes with it. */
  async #leave(server: ServerStandIn): Promise<void> {
    await this.#surroundings.addLike(server);
    this.#surroundings.retire(server);
    server.leaves = true;
    await pause(SERVES_ON);
    this.#surroundings.store.remove('servers', server.id);
  }

  async #rest(server: ServerStandIn): Promise<void> {
    const others = this.#surroundings.staying().filter((other) => other.keyed === server.keyed);
    if (others.filter(({ isResting }) => isResting).length > 0 || others.length < 3) {
      return;
    }
    server.restSeconds = REST_SECONDS;
    await pause(ILL);
    server.restSeconds = null;
  }

  /** Another writer: entries that name no server, and a known server's entry spoilt for a while. */
  async #writeOddly(server: ServerStandIn): Promise<void> {
    const { store } = this.#surroundings;
    this.#odd += 1;
    const { service, address, zone } = server;
    const whole = { service, address, zone, version: '1', capacity: 8, state: 'ready', warmupLeftS: 0 };
    const odd: unknown[] = [
      { ...whole, state: 'unheard of', sequence: 1 },
      whole,
      { ...whole, service: 7, sequence: 1 },
      '\u0000\ufffd',
      null,
      { ...whole, service: 'unnamed', sequence: 1 },
    ];
    const name = `odd-${this.#odd}`;
    store.put('servers', name, odd[this.#odd % odd.length]);
    const spoils = this.#upTo(3) === 0;
    if (spoils) {
      store.put('servers', server.id, { ...whole, capacity: 'many', sequence: 1 });
    }
    await pause(ODD_ENTRY_STAYS);
    store.remove('servers', name);
    // A server that has left meanwhile doesn't come back into the list.
    if (spoils && this.#surroundings.staying().includes(server)) {
      this.#surroundings.putEntry(server);
    }
  }

  #daemonOf(attemptId: string): DaemonProcess | undefined {
    return this.#surroundings.daemons.find(({ name }) => attemptId.startsWith(`${name}-`));
  }

  /** A server answers a request, and may say something of itself. */
  onAnswer(server: ServerStandIn, attemptId: string): void {
    const daemon = this.#daemonOf(attemptId);
    if (daemon === undefined) {
      return;
    }
    const now = performance.now();
    if (server.leaves) {
      const told = mapOf(this.#told, server);
      const before = told.get(daemon.name);
      if (before === undefined || daemon.troubledAt >= before) {
        told.set(daemon.name, now);
      }
    }
    if (server.restSeconds !== null) {
      const until = now + server.restSeconds * MILLISECONDS_PER_SECOND;
      const rests = mapOf(this.#rests, server);
      const known = rests.get(daemon.name);
      if (known === undefined || now >= known.until) {
        rests.set(daemon.name, { from: now, until, arrivals: 0 });
      }
    }
  }

  /** A request reached a server. */
  onArrival(server: ServerStandIn, attemptId: string): void {
    const daemon = this.#daemonOf(attemptId);
    if (daemon === undefined) {
      return;
    }
    const now = performance.now();
    const toldAt = this.#told.get(server)?.get(daemon.name);
    if (toldAt !== undefined && daemon.troubledAt < toldAt && now > toldAt + LEAVE) {
      const told = `${attemptId} at ${server.id}, ${Math.round(now - toldAt)} ms after an answer said so`;
      this.#promises.fail('a server that said that it leaves gets nothing', told);
    }
    const rest = this.#rests.get(server)?.get(daemon.name);
    if (
      rest !== undefined &&
      daemon.troubledAt < rest.from &&
      now > rest.from + ON_ITS_WAY &&
      now < rest.until
    ) {
      rest.arrivals += 1;
      if (rest.arrivals === MOST_IN_REST + 1) {
        this.#promises.fail('a server that wants rest gets it', `${attemptId} at ${server.id}`);
      }
    }
  }
}

function mapOf<Value>(
  maps: Map<ServerStandIn, Map<string, Value>>,
  server: ServerStandIn,
): Map<string, Value> {
  const found = maps.get(server) ?? new Map<string, Value>();
  maps.set(server, found);
  return found;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
