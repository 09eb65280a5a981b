/**
 * The log of a shard in memory: a base below which entries were dropped, and the entries after it.
 */
import type { ReplicaId } from '../identifiers.js';
import type { LogEntry } from '../messages.js';

/** Indices count from 1; index 0 stands before the first entry. */
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

  /** Index of the last entry that was dropped. */
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

  /** The newest replica set in the log, committed or not. */
  get replicas(): readonly ReplicaId[] {
    return this.#replicas;
  }

  /** Term of the entry at an index, or undefined when the log does not hold it. */
  termAt(index: number): number | undefined {
    return index === this.#baseIndex ? this.#baseTerm : this.entryAt(index)?.term;
  }

  /** The entry at an index, or undefined. */
  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.#baseIndex - 1];
  }

  /** At most `limit` entries from an index on. */
  entriesFrom(index: number, limit: number): LogEntry[] {
    const start = index - this.#baseIndex - 1;
    return this.#entries.slice(start, start + limit);
  }

  /** Adds an entry and returns its index. */
  append(entry: LogEntry): number {
    this.#entries.push(entry);
    if (entry.replicas.length > 0) {
      this.#replicas = entry.replicas;
    }
    return this.lastIndex;
  }

  /** Drops the entries from an index on. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
    this.#replicas = this.#replicasUpTo(this.#entries.length);
  }

  /** Drops the entries up to an index: they are contained in the applied table. */
  compactTo(index: number): void {
    const count = index - this.#baseIndex;
    if (count <= 0) {
      return;
    }
    this.#baseTerm = this.termAt(index) ?? this.#baseTerm;
    this.#baseReplicas = this.#replicasUpTo(count);
    this.#entries = this.#entries.slice(count);
    this.#baseIndex = index;
  }

  /** The replica set in force at an index. */
  replicasAt(index: number): readonly ReplicaId[] {
    return this.#replicasUpTo(index - this.#baseIndex);
  }

  #replicasUpTo(count: number): readonly ReplicaId[] {
    const last = this.#entries.slice(0, count).findLast((entry) => entry.replicas.length > 0);
    return last?.replicas ?? this.#baseReplicas;
  }
}
