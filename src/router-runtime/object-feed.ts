/**
 * Follows a list in the platform while it is wanted: lists it, watches it, and lists anew when the watch lost its place.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { FeedChange, FeedSource } from '../router/ports.js';
import { WatchPacing } from './watch-pacing.js';

const WATCH_MILLISECONDS = 20_000;
const FIRST_RETRY_MILLISECONDS = 100;
/** An entry that lapsed in an outage is back 2 s after it: later than this need no daemon know. */
const LONGEST_RETRY_MILLISECONDS = 1_500;

/** A watch that was ended for a list, or with the feed. */
const SUPERSEDED = Symbol('superseded');

/** A call that ended without an answer that can be used. */
export interface FeedFailure {
  readonly call: 'list' | 'watch';
  /** How long it took until it was given up. */
  readonly waited: Milliseconds;
  readonly reason: string;
}

/** What a feed tells its owner. */
export interface FeedListener<Item> {
  onList(items: readonly FeedChange<Item>[], revision: number): void;
  onChanges(changes: readonly FeedChange<Item>[], revision: number): void;
  /** The store answered a call. */
  onAnswer(): void;
  /** A call ended without an answer that can be used. */
  onFailure(failure: FeedFailure): void;
}

export class ObjectFeed<Item> {
  readonly #source: FeedSource<Item>;
  readonly #listener: FeedListener<Item>;
  #revision: number | null = null;
  #closed = false;
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
    const call = this.#revision === null ? 'list' : 'watch';
    const failure = this.#revision === null ? await this.#list() : await this.#watch(this.#revision);
    const waited = performance.now() - startedAt;
    if (failure === null) {
      this.#failures = 0;
      this.#listener.onAnswer();
    } else if (failure !== SUPERSEDED) {
      this.#failures += 1;
      this.#listener.onFailure({ call, waited, reason: failure });
      return this.#pause(this.#retryDelay());
    }
    await this.#pause(this.#pacing.next(waited));
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

  /** Why the list failed, or null. */
  async #list(): Promise<string | null> {
    const outcome = await this.#source.list();
    if (outcome.kind === 'failed') {
      return outcome.reason;
    }
    this.#revision = outcome.revision;
    this.#listener.onList(outcome.items, outcome.revision);
    return null;
  }

  /** Why the watch failed, or null; superseded, when this daemon ended it itself. */
  async #watch(revision: number): Promise<string | typeof SUPERSEDED | null> {
    const outcome = await this.#source.watch(revision, WATCH_MILLISECONDS, this.#abort.signal);
    if (this.#refreshWanted || this.#closed) {
      return SUPERSEDED;
    }
    if (outcome.kind === 'changes') {
      this.#revision = Math.max(revision, outcome.revision);
      if (outcome.changes.length > 0) {
        this.#listener.onChanges(outcome.changes, outcome.revision);
      }
      return null;
    }
    // The list says what the watch may have missed.
    this.#revision = null;
    return outcome.kind === 'forgotten' ? null : outcome.reason;
  }

  #retryDelay(): number {
    return Math.min(LONGEST_RETRY_MILLISECONDS, FIRST_RETRY_MILLISECONDS * 2 ** (this.#failures - 1));
  }

  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
