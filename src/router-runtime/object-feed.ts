/**
 * Follows a list in the platform while it is wanted: lists it, watches it, and lists anew when the watch lost its place.
 */
import type { FeedChange, FeedSource } from '../router/ports.js';
import { WatchPacing } from './watch-pacing.js';

const WATCH_MILLISECONDS = 20_000;
const FIRST_RETRY_MILLISECONDS = 100;
/** An entry that lapsed in an outage is back 2 s after it: later than this need no daemon know. */
const LONGEST_RETRY_MILLISECONDS = 1_500;

/** What a feed tells its owner. */
export interface FeedListener<Item> {
  onList(items: readonly FeedChange<Item>[], revision: number): void;
  onChanges(changes: readonly FeedChange<Item>[], revision: number): void;
  /** The store stopped, or began again, to answer. */
  onHealth(healthy: boolean): void;
}

export class ObjectFeed<Item> {
  readonly #source: FeedSource<Item>;
  readonly #listener: FeedListener<Item>;
  #revision: number | null = null;
  #closed = false;
  #healthy = true;
  #failures = 0;
  readonly #pacing = new WatchPacing();
  #refreshWanted = false;
  #wanted = false;
  #wake: () => void = () => undefined;
  #abort = new AbortController();

  constructor(source: FeedSource<Item>, listener: FeedListener<Item>) {
    this.#source = source;
    this.#listener = listener;
  }

  /** Works until it is closed. */
  async run(): Promise<void> {
    while (!this.#closed) {
      if (this.#wanted || this.#refreshWanted) {
        await this.#followOnce();
      } else {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
      }
    }
  }

  async #followOnce(): Promise<void> {
    this.#abort = new AbortController();
    this.#refreshWanted = false;
    const startedAt = performance.now();
    const succeeded = this.#revision === null ? await this.#list() : await this.#watch(this.#revision);
    this.#noteHealth(succeeded);
    await this.#pause(succeeded ? this.#pacing.next(performance.now() - startedAt) : this.#retryDelay());
  }

  /** Begins to follow the list after a revision up to which everything is known; null: nothing is. */
  begin(revision: number | null): void {
    this.#wanted = true;
    this.#revision = revision ?? this.#revision;
    this.#wake();
  }

  /** Follows the list no more. A watch that waits goes on waiting: it is paid for, and its news are taken. */
  cease(): void {
    this.#wanted = false;
  }

  /** Lists anew at once: what is known may be old. */
  refresh(): void {
    if (!this.#refreshWanted) {
      this.#refreshWanted = true;
      this.#revision = null;
      this.#abort.abort();
      this.#wake();
    }
  }

  /** Ends the feed. */
  close(): void {
    this.#closed = true;
    this.#abort.abort();
    this.#wake();
  }

  async #list(): Promise<boolean> {
    const outcome = await this.#source.list();
    if (outcome.kind === 'failed') {
      return false;
    }
    this.#revision = outcome.revision;
    this.#listener.onList(outcome.items, outcome.revision);
    return true;
  }

  async #watch(revision: number): Promise<boolean> {
    const outcome = await this.#source.watch(revision, WATCH_MILLISECONDS, this.#abort.signal);
    if (this.#refreshWanted || this.#closed) {
      return true;
    }
    if (outcome.kind === 'changes') {
      this.#revision = Math.max(revision, outcome.revision);
      if (outcome.changes.length > 0) {
        this.#listener.onChanges(outcome.changes, outcome.revision);
      }
      return true;
    }
    // The list says what the watch may have missed.
    this.#revision = null;
    return outcome.kind === 'forgotten';
  }

  #noteHealth(succeeded: boolean): void {
    this.#failures = succeeded ? 0 : this.#failures + 1;
    if (succeeded !== this.#healthy) {
      this.#healthy = succeeded;
      this.#listener.onHealth(succeeded);
    }
  }

  #retryDelay(): number {
    return Math.min(LONGEST_RETRY_MILLISECONDS, FIRST_RETRY_MILLISECONDS * 2 ** (this.#failures - 1));
  }

  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
