/**
 * Lets servers announce in responses that they drain or ask for back-off, restarts servers under their id, and writes malformed entries to the store;
 * checks that daemons respect the announcements. Uses a random sequence of its own, so that the other faults of a seed do not depend on these.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { DaemonProcess } from './daemon-process.js';
import { TIMING } from './deployment.js';
import type { PromiseChecker } from './promise-checker.js';
import type { FakeServer } from './fake-server.js';
import type { RemoteStore } from './remote-store.js';
import { earliestArrival, now, pause } from './soak-clock.js';

const MILLISECONDS_PER_SECOND = 1_000;
const DRAIN_LIMIT_MILLISECONDS = TIMING.drain * MILLISECONDS_PER_SECOND;
/** Time from the moment a server begins to announce that it drains until its entry is removed. */
const SERVING_AFTER_NOTICE_MILLISECONDS = 9_000;
/** Time for which requests may still be on their way when a server asks for back-off. */
const IN_FLIGHT_MILLISECONDS = 500;
const MAX_ARRIVALS_IN_BACK_OFF = 2;
const BACK_OFF_SECONDS = 2.5;
/** Time for which a server rejects all requests and asks for back-off. */
const REJECTING_MILLISECONDS = 6_000;
const LONGEST_RESTART_MILLISECONDS = 700;
const MALFORMED_ENTRY_MILLISECONDS = 1_500;
const LONGEST_GAP_MILLISECONDS = 2_500;

/** Functions of the soak that `NoticeFaults` needs. */
export interface NoticeFaultEnvironment {
  readonly store: RemoteStore;
  readonly daemons: readonly DaemonProcess[];
  /** Returns the servers that are not draining. */
  activeServers(): FakeServer[];
  /** Starts another server of the same service. */
  addSimilarServer(server: FakeServer): Promise<void>;
  /** Crashes a server and restarts it `after` milliseconds later at its address and under its id; its entry stays in the store meanwhile. */
  restart(server: FakeServer, after: number): Promise<void>;
  /** Excludes a server from all other faults. */
  excludeFromFaults(server: FakeServer): void;
  putEntry(server: FakeServer): void;
}

interface BackOff {
  readonly from: number;
  readonly until: number;
  arrivals: number;
}

export class NoticeFaults {
  readonly #promises: PromiseChecker;
  readonly #environment: NoticeFaultEnvironment;
  readonly #random: SeededRandom;
  /** Time at which each daemon first received a response that announced draining since its last fault, by server and daemon name. */
  readonly #informed = new Map<FakeServer, Map<string, number>>();
  readonly #backOffs = new Map<FakeServer, Map<string, BackOff>>();
  #malformedCount = 0;

  constructor(seed: number, promises: PromiseChecker, environment: NoticeFaultEnvironment) {
    this.#promises = promises;
    this.#environment = environment;
    this.#random = new SeededRandom(seed + 77_000);
  }

  /** Draws and performs faults for `length` milliseconds, and resolves when the last one has ended. */
  async run(length: number): Promise<void> {
    const faults: Promise<void>[] = [];
    for (let at = 0; at < length;) {
      faults.push(this.#perform());
      const gap = 300 + this.#randomBelow(LONGEST_GAP_MILLISECONDS);
      await pause(gap);
      at += gap;
    }
    await Promise.all(faults);
  }

  #randomBelow(limit: number): number {
    return Math.floor(this.#random.fraction() * limit);
  }

  async #perform(): Promise<void> {
    const kind = this.#randomBelow(4);
    const candidates = this.#environment.activeServers().filter(({ asksForBackOff }) => !asksForBackOff);
    const server = candidates[this.#randomBelow(candidates.length)];
    if (server === undefined) {
      return;
    }
    switch (kind) {
      case 0:
        return this.#announceDraining(server);
      case 1:
        return this.#askForBackOff(server);
      case 2:
        return this.#environment.restart(server, this.#randomBelow(LONGEST_RESTART_MILLISECONDS));
      default:
        return this.#writeMalformedEntries(server);
    }
  }

  /** Drains a server that announces this in responses only: its entry stays `ready` until it is removed. */
  async #announceDraining(server: FakeServer): Promise<void> {
    await this.#environment.addSimilarServer(server);
    this.#environment.excludeFromFaults(server);
    server.announcesDraining = true;
    await pause(SERVING_AFTER_NOTICE_MILLISECONDS);
    await this.#environment.store.remove('servers', server.id);
  }

  async #askForBackOff(server: FakeServer): Promise<void> {
    const others = this.#environment.activeServers().filter((other) => other.keyed === server.keyed);
    if (others.filter(({ asksForBackOff }) => asksForBackOff).length > 0 || others.length < 3) {
      return;
    }
    server.backOffSeconds = BACK_OFF_SECONDS;
    await pause(REJECTING_MILLISECONDS);
    server.backOffSeconds = null;
  }

  /** Simulates another writer of the store: adds a malformed or unusable entry for a while, and sometimes makes a server's own entry malformed. */
  async #writeMalformedEntries(server: FakeServer): Promise<void> {
    const { store } = this.#environment;
    this.#malformedCount += 1;
    const { service, address, zone } = server;
    const baseEntry = { service, address, zone, version: '1', capacity: 8, state: 'ready', warmupLeftS: 0 };
    const oddEntries: unknown[] = [
      { ...baseEntry, state: 'unheard of', sequence: 1 },
      baseEntry,
      { ...baseEntry, service: 7, sequence: 1 },
      '\u0000\ufffd',
      null,
      { ...baseEntry, service: 'unnamed', sequence: 1 },
    ];
    const name = `odd-${this.#malformedCount}`;
    await store.put('servers', name, oddEntries[this.#malformedCount % oddEntries.length]);
    const corruptsOwnEntry = this.#randomBelow(3) === 0;
    if (corruptsOwnEntry) {
      await store.put('servers', server.id, { ...baseEntry, capacity: 'many', sequence: 1 });
    }
    await pause(MALFORMED_ENTRY_MILLISECONDS);
    await store.remove('servers', name);
    // The entry of a server that began to drain meanwhile is not restored.
    if (corruptsOwnEntry && this.#environment.activeServers().includes(server)) {
      this.#environment.putEntry(server);
    }
  }

  #daemonOf(attemptId: string): DaemonProcess | undefined {
    return this.#environment.daemons.find(({ name }) => attemptId.startsWith(`${name}-`));
  }

  /** Records the announcements that a daemon received in a response. */
  onAnswer(server: FakeServer, attemptId: string): void {
    const daemon = this.#daemonOf(attemptId);
    if (daemon === undefined) {
      return;
    }
    const answeredAt = now();
    if (server.announcesDraining) {
      const informed = mapForServer(this.#informed, server);
      const before = informed.get(daemon.name);
      if (before === undefined || daemon.lastFaultAt >= before) {
        informed.set(daemon.name, answeredAt);
      }
    }
    if (server.backOffSeconds !== null) {
      const until = answeredAt + server.backOffSeconds * MILLISECONDS_PER_SECOND;
      const backOffs = mapForServer(this.#backOffs, server);
      const currentBackOff = backOffs.get(daemon.name);
      if (currentBackOff === undefined || answeredAt >= currentBackOff.until) {
        backOffs.set(daemon.name, { from: answeredAt, until, arrivals: 0 });
      }
    }
  }

  /** Checks a request that reached a server against the announcements that its daemon has received. */
  onArrival(server: FakeServer, attemptId: string): void {
    const daemon = this.#daemonOf(attemptId);
    if (daemon === undefined) {
      return;
    }
    const arrivedAt = earliestArrival();
    const informedAt = this.#informed.get(server)?.get(daemon.name);
    if (
      informedAt !== undefined &&
      daemon.lastFaultAt < informedAt &&
      arrivedAt > informedAt + DRAIN_LIMIT_MILLISECONDS
    ) {
      const detail = `${attemptId} at ${server.id}, ${Math.round(arrivedAt - informedAt)} ms after the first response that announced draining`;
      this.#promises.fail('a server that said that it leaves gets nothing', detail);
    }
    const backOff = this.#backOffs.get(server)?.get(daemon.name);
    if (
      backOff !== undefined &&
      daemon.lastFaultAt < backOff.from &&
      arrivedAt > backOff.from + IN_FLIGHT_MILLISECONDS &&
      now() < backOff.until
    ) {
      backOff.arrivals += 1;
      if (backOff.arrivals === MAX_ARRIVALS_IN_BACK_OFF + 1) {
        this.#promises.fail('a server that wants rest gets it', `${attemptId} at ${server.id}`);
      }
    }
  }
}

function mapForServer<Value>(
  mapsByServer: Map<FakeServer, Map<string, Value>>,
  server: FakeServer,
): Map<string, Value> {
  const found = mapsByServer.get(server) ?? new Map<string, Value>();
  mapsByServer.set(server, found);
  return found;
}
