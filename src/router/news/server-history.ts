/** The latest changes of servers, so that a daemon that missed some can be told of just those. */
import type { ServerChange } from '../peers/messages.js';

/** Batches that are remembered: at one a second, four minutes. */
const MOST_BATCHES = 256;

interface Batch {
  readonly revision: number;
  readonly changes: readonly ServerChange[];
}

/** Changes after a revision of the store, up to a later one. */
export interface ChangesSince {
  readonly revision: number;
  readonly changes: ServerChange[];
}

/** Changes in the order in which this daemon took them in. */
export class ServerHistory {
  #batches: Batch[] = [];
  /** Nothing before this revision is remembered. */
  #start = 0;

  /** Every change up to this revision of the store has been taken in; 0 before the first list. */
  get end(): number {
    return this.#batches.at(-1)?.revision ?? this.#start;
  }

  /** Forgets everything: a list at a revision takes its place. */
  restart(revision: number): void {
    this.#batches = [];
    this.#start = revision;
  }

  /** Adds the changes that follow the end. */
  append(revision: number, changes: readonly ServerChange[]): void {
    this.#batches.push({ revision, changes });
    const forgotten = this.#batches.length > MOST_BATCHES ? this.#batches.shift() : undefined;
    this.#start = forgotten?.revision ?? this.#start;
  }

  /** What came after a revision, the last change of each server only; null when that is not remembered. */
  since(revision: number): ChangesSince | null {
    if (revision < this.#start || this.#start === 0) {
      return null;
    }
    const latest = new Map<string, ServerChange>();
    for (const batch of this.#batches) {
      if (batch.revision > revision) {
        batch.changes.forEach((change) => latest.set(change.id, change));
      }
    }
    return { revision: this.end, changes: [...latest.values()] };
  }
}
