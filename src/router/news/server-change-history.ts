/** The latest changes of servers, so that a daemon that missed some can be sent only those. */
import type { ServerChange } from '../peers/messages.js';

/** Maximum number of batches kept: at one per second, four minutes. */
const MAX_BATCHES = 256;

interface ChangeBatch {
  readonly revision: number;
  readonly changes: readonly ServerChange[];
}

/** The changes after one revision of the store, up to and including a later one. */
export interface ChangesSince {
  readonly revision: number;
  readonly changes: ServerChange[];
}

/** The changes of servers in the order in which this daemon applied them. */
export class ServerChangeHistory {
  #batches: ChangeBatch[] = [];
  /** Changes up to and including this revision are not kept. */
  #startRevision = 0;

  /** The revision of the store up to which every change has been applied; 0 before the first list. */
  get endRevision(): number {
    return this.#batches.at(-1)?.revision ?? this.#startRevision;
  }

  /** Discards all changes, because a list at the given revision replaces them. */
  reset(revision: number): void {
    this.#batches = [];
    this.#startRevision = revision;
  }

  /** Adds the changes that follow the last revision. */
  append(revision: number, changes: readonly ServerChange[]): void {
    this.#batches.push({ revision, changes });
    const discarded = this.#batches.length > MAX_BATCHES ? this.#batches.shift() : undefined;
    this.#startRevision = discarded?.revision ?? this.#startRevision;
  }

  /** Returns the last change of each server after a revision, or null when changes after it are no longer kept. */
  changesSince(revision: number): ChangesSince | null {
    if (revision < this.#startRevision || this.#startRevision === 0) {
      return null;
    }
    const latest = new Map<string, ServerChange>();
    for (const batch of this.#batches) {
      if (batch.revision > revision) {
        batch.changes.forEach((change) => latest.set(change.id, change));
      }
    }
    return { revision: this.endRevision, changes: [...latest.values()] };
  }
}
