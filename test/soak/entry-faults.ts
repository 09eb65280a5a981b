/**
 * A second writer of the store, which leaves odd entries among those of the servers: they come, change, take the names of servers until these write
 * their entries again, and go. Uses a random sequence of its own, so that the other faults of a seed do not depend on these.
 */
import { DAEMON_OBJECTS, EVACUATIONS_KIND, SERVERS_KIND } from '../../platform/protocol.js';
import { drawOddEntries, type PlannedEntry, standingKinds } from './entry-schedule.js';
import type { FakeServer } from './fake-server.js';
import { type EntrySubject, type Fields, type OddEntryKind, toObject } from './odd-entries.js';
import type { RemoteStore } from './remote-store.js';
import { now, pause } from './soak-clock.js';

/** Servers write their entries at this interval: an entry is removed after three of them. */
const HEARTBEAT_MILLISECONDS = 1_333;
/** Nothing listens at this address. */
const UNUSED_ADDRESS = '127.0.0.1:9';

/** What the second writer acts on. */
export interface EntryFaultEnvironment {
  readonly store: RemoteStore;
  /** Servers that do not leave. */
  activeServers(): readonly FakeServer[];
  /** Writes a server's own entry. */
  putEntry(server: FakeServer): Promise<number>;
  /** Called when the leader's record was changed, which may end the leadership. */
  onLeaderChanged(): void;
}

/** Removes or replaces what was written. */
type Undo = () => Promise<void>;

export class EntryFaults {
  readonly #seed: number;
  readonly #environment: EntryFaultEnvironment;
  readonly #counts = new Map<string, number>();
  #nextName = 1;

  constructor(seed: number, environment: EntryFaultEnvironment) {
    this.#seed = seed;
    this.#environment = environment;
  }

  /** Leaves entries for `length` milliseconds, and resolves when the last one is gone. */
  async run(length: number): Promise<void> {
    const startedAt = now();
    const standing: Promise<void>[] = [];
    for (const planned of drawOddEntries(this.#seed, length)) {
      await pause(startedAt + planned.at - now());
      standing.push(this.#leave(planned));
    }
    await Promise.all(standing);
  }

  /** Leaves entries of several kinds under names of their own. The returned function removes them. */
  async leaveStanding(): Promise<Undo> {
    const undos: Undo[] = [];
    for (const [index, kind] of standingKinds(this.#seed).entries()) {
      undos.push(await this.#put(kind, this.#newSubject(index % 2 === 0 ? 'plain' : 'keyed')));
    }
    return async () => {
      await Promise.all(undos.map((undo) => undo()));
    };
  }

  /** How often entries of each kind were written, for the report. */
  get summary(): string {
    const written = [...this.#counts.values()].reduce((sum, count) => sum + count, 0);
    return `${written} odd entries of ${this.#counts.size} kinds`;
  }

  async #leave({ place, entry, next, lasts }: PlannedEntry): Promise<void> {
    if (place.kind === 'leader') {
      return this.#changeLeader(place.fields);
    }
    if (entry === null) {
      return;
    }
    if (place.kind === 'servers' && place.takesName) {
      return this.#takeName(entry, place.service, Math.min(lasts, HEARTBEAT_MILLISECONDS));
    }
    const collection = place.kind === 'servers' ? SERVERS_KIND : EVACUATIONS_KIND;
    const subject = this.#newSubject(place.kind === 'servers' ? place.service : 'plain');
    const undo = await this.#put(entry, subject, collection);
    await pause(lasts / 2);
    const undoNext = next === null ? null : await this.#put(next, subject, collection);
    await pause(lasts / 2);
    await undo();
    await undoNext?.();
  }

  #newSubject(service: 'plain' | 'keyed'): EntrySubject {
    const name = `odd-${this.#nextName}`;
    this.#nextName += 1;
    // An owner of keys takes grants whoever they are meant for.
    const servers = this.#environment.activeServers().filter((server) => server.service === service);
    const shared = service === 'plain' ? servers[this.#nextName % (2 * servers.length)] : undefined;
    return { name, service, address: shared?.address ?? UNUSED_ADDRESS, zone: servers[0]?.zone ?? '' };
  }

  /** Puts an entry in the place of a server's own until the server writes it again. */
  async #takeName(entry: OddEntryKind, service: string, lasts: number): Promise<void> {
    const servers = this.#environment.activeServers().filter((server) => server.service === service);
    const server = servers[this.#nextName % servers.length];
    this.#nextName += 1;
    if (server === undefined) {
      return;
    }
    const { id: name, address, zone } = server;
    await this.#put(entry, { name, service, address, zone });
    await pause(lasts);
    // The entry of a server that began to drain meanwhile is not restored.
    if (this.#environment.activeServers().includes(server)) {
      await this.#environment.putEntry(server);
    }
  }

  async #changeLeader(fields: Fields): Promise<void> {
    const { kind, name } = DAEMON_OBJECTS.leader;
    const record = await this.#environment.store.read(kind, name);
    if (typeof record !== 'object' || record === null) {
      return;
    }
    const texts = Object.entries(record).map(([field, value]) => [field, JSON.stringify(value)] as const);
    const spec = toObject({ ...Object.fromEntries(texts), ...fields });
    const revision = '{"name":"main","revision":REVISION,"made":1}';
    this.#count("leader's record");
    this.#environment.onLeaderChanged();
    await this.#environment.store.putBytes(kind, name, Buffer.from(toObject({ metadata: revision, spec })));
  }

  async #put(kind: OddEntryKind, subject: EntrySubject, collection = SERVERS_KIND): Promise<Undo> {
    const { store } = this.#environment;
    const { name, bytes } = kind.build(subject);
    this.#count(kind.title);
    await store.putBytes(collection, name, bytes);
    return async () => {
      await store.remove(collection, name);
    };
  }

  #count(title: string): void {
    this.#counts.set(title, (this.#counts.get(title) ?? 0) + 1);
  }
}
