/** The latest changes of servers, so that a daemon that missed some can be sent only those. */
import type { ServerChange } from '../peers/messages.js';

/** Maximum number of batches kept: at one per second, four minutes. */
const MAX_BATCHES = 256;

interface ChangeBatch {
  /** Revision of the store that the changes follow. */
  readonly base: number;
  /**
   * The changes include every one after this revision, and so bring any list from here on up to date. Those between `base` and
   * this revision may be missing where a later one has undone them, and so bring only the list at `base` up to date.
   */
  readonly completeFrom: number;
  /** Revision up to which the changes are complete. */
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
  append(revision: number, changes: readonly ServerChange[], completeFrom = this.endRevision): void {
    this.#batches.push({ base: this.endRevision, completeFrom, revision, changes });
    const discarded = this.#batches.length > MAX_BATCHES ? this.#batches.shift() : undefined;
    this.#startRevision = discarded?.revision ?? this.#startRevision;
  }

  /**
   * Returns the last change of each server after a revision. Null when changes after it are no longer kept, or may be missing.
   */
  changesSince(revision: number): ChangesSince | null {
    if (revision < this.#startRevision || this.#startRevision === 0) {
      return null;
    }
    const latest = new Map<string, ServerChange>();
    for (const batch of this.#batches) {
      if (batch.base < revision && revision < batch.completeFrom) {
        return null;
      }
      if (batch.revision > revision) {
        batch.changes.forEach((change) => latest.set(change.id, change));
      }
    }
    return { revision: this.endRevision, changes: [...latest.values()] };
  }
}
