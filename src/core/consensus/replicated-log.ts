/**
 * A shard's replicated log in memory: the entries after a base index; compaction has dropped the entries up
 * to it.
 */
import type { ReplicaId } from '../identifiers.js';
import type { LogEntry } from '../messages.js';

/** A log whose indices start at 1; index 0 is the position before the first entry. */
export class ReplicatedLog {
  #baseIndex: number;
  #baseTerm: number;
  #baseReplicas: readonly ReplicaId[];
  #entries: LogEntry[] = [];
  #replicas: readonly ReplicaId[];

  constructor(baseIndex: number, baseTerm: number, replicas: readonly ReplicaId[]) {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#baseReplicas = replicas;
    this.#replicas = replicas;
  }

  /** Index of the last entry that compaction dropped. */
  get baseIndex(): number {
    return this.#baseIndex;
  }

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  /** Term of the last entry. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /** The newest replica set in the log, whether its entry is committed or not. */
  get replicas(): readonly ReplicaId[] {
    return this.#replicas;
  }

  /** Returns the term of the entry at an index, or undefined when the log does not contain the entry. */
  termAt(index: number): number | undefined {
    return index === this.#baseIndex ? this.#baseTerm : this.entryAt(index)?.term;
  }

  /** Returns the entry at an index, or undefined when the log does not contain it. */
  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.#baseIndex - 1];
  }

  /** Returns at most `limit` entries, starting at an index. */
  entriesFrom(index: number, limit: number): LogEntry[] {
    const start = index - this.#baseIndex - 1;
    return this.#entries.slice(start, start + limit);
  }

  /** Appends an entry and returns its index. */
  append(entry: LogEntry): number {
    this.#entries.push(entry);
    if (entry.replicas.length > 0) {
      this.#replicas = entry.replicas;
    }
    return this.lastIndex;
  }

  /** Drops the entry at an index and all later entries. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
    this.#replicas = this.#replicasAfterEntries(this.#entries.length);
  }

  /** Drops the entries up to an index; the applied table already contains their changes. */
  compactTo(index: number): void {
    const count = index - this.#baseIndex;
    if (count <= 0) {
      return;
    }
    this.#baseTerm = this.termAt(index) ?? this.#baseTerm;
    this.#baseReplicas = this.#replicasAfterEntries(count);
    this.#entries = this.#entries.slice(count);
    this.#baseIndex = index;
  }

  /** Returns the replica set in effect at an index. */
  replicasAt(index: number): readonly ReplicaId[] {
    return this.#replicasAfterEntries(index - this.#baseIndex);
  }

  #replicasAfterEntries(count: number): readonly ReplicaId[] {
    const last = this.#entries.slice(0, count).findLast((entry) => entry.replicas.length > 0);
    return last?.replicas ?? this.#baseReplicas;
  }
}
