/**
 * Follows a list in the platform while it is wanted: lists it, watches it, and lists anew when the watch lost its place.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { CancelCall, FeedChange, FeedSource, ListOutcome, WatchOutcome } from '../router/ports.js';
import type { CancelTimer, Timers } from './timers.js';
import { WatchPacing } from './watch-pacing.js';

/** Between the ends of two calls that fail, at least. */
const FIRST_RETRY: Milliseconds = 100;
/**
 * Between the starts of two calls that fail, at most: an entry that lapsed in an outage is back 2 s after it, and a call
 * that the store got while it was away is never answered.
 */
const LONGEST_RETRY: Milliseconds = 1_500;

/** A call that ended without an answer that can be used. */
export interface FeedFailure {
  readonly call: 'list' | 'watch';
  /** How long it took until it was given up. */
  readonly waited: Milliseconds;
  readonly reason: string;
}

/** Time as a feed needs it. */
export interface FeedTiming {
  readonly timers: Timers;
  /** How long a watch waits for changes. */
  readonly watchTime: () => Milliseconds;
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

interface CallUnderWay {
  readonly kind: FeedFailure['call'];
  readonly startedAt: Milliseconds;
  end: CancelCall;
}

export class ObjectFeed<Item> {
  readonly #source: FeedSource<Item>;
  readonly #listener: FeedListener<Item>;
  readonly #timers: Timers;
  readonly #watchTime: () => Milliseconds;
  readonly #pacing = new WatchPacing();
  /** Everything up to here is known; null: nothing is. */
  #revision: number | null = null;
  #wanted = false;
  #refreshWanted = false;
  #closed = false;
  #failures = 0;
  #call: CallUnderWay | null = null;
  #cancelPause: CancelTimer | null = null;

  constructor(source: FeedSource<Item>, listener: FeedListener<Item>, timing: FeedTiming) {
    this.#source = source;
    this.#listener = listener;
    this.#timers = timing.timers;
    this.#watchTime = timing.watchTime;
  }

  /** Begins to follow the list after a revision up to which everything is known; null: nothing is. */
  begin(revision: number | null): void {
    this.#wanted = true;
    this.#revision = revision ?? this.#revision;
    this.#proceed();
  }

  /** Follows the list no more. A watch that waits goes on waiting: it is paid for, and its news are taken. */
  cease(): void {
    this.#wanted = false;
  }

  /** Lists anew at once: what is known may be old. */
  refresh(): void {
    this.#refreshWanted = true;
    this.#revision = null;
    if (this.#call?.kind === 'watch') {
      this.#endCall();
    }
    this.#proceed();
  }

  /** Ends the feed. */
  close(): void {
    this.#closed = true;
    this.#endCall();
    this.#cancelPause?.();
  }

  #endCall(): void {
    this.#call?.end();
    this.#call = null;
  }

  /** Makes the next call, unless one is under way or its time has not come. */
  #proceed(): void {
    const isIdle = this.#call === null && this.#cancelPause === null;
    if (this.#closed || !isIdle || !(this.#wanted || this.#refreshWanted)) {
      return;
    }
    this.#refreshWanted = false;
    if (this.#revision === null) {
      this.#list();
    } else {
      this.#watch(this.#revision);
    }
  }

  #list(): void {
    const call = this.#begin('list');
    call.end = this.#source.list((outcome) => this.#receiveList(call, outcome));
  }

  #watch(revision: number): void {
    const call = this.#begin('watch');
    // A store never answers a watch that came while it was away, nor one whose connection went silent: a long one would let changes
    // come into force late on all daemons.
    call.end = this.#source.watch(revision, this.#watchTime(), (outcome) =>
      this.#receiveWatch(call, outcome),
    );
  }

  #begin(kind: FeedFailure['call']): CallUnderWay {
    const call = { kind, startedAt: this.#timers.now(), end: () => undefined };
    this.#call = call;
    return call;
  }

  #receiveList(call: CallUnderWay, outcome: ListOutcome<Item>): void {
    this.#call = null;
    if (outcome.kind === 'failed') {
      this.#noteFailure(call, outcome.reason);
      return;
    }
    this.#revision = outcome.revision;
    this.#listener.onList(outcome.items, outcome.revision);
    this.#noteAnswer(call);
  }

  #receiveWatch(call: CallUnderWay, outcome: WatchOutcome<Item>): void {
    this.#call = null;
    if (outcome.kind === 'changes') {
      // A watch without changes moves nothing: a store that is about to forget its history may have kept some back.
      if (outcome.changes.length > 0) {
        this.#revision = Math.max(this.#revision ?? 0, outcome.revision);
        this.#listener.onChanges(outcome.changes, outcome.revision);
      }
      this.#noteAnswer(call);
      return;
    }
    // The list says what the watch may have missed.
    this.#revision = null;
    if (outcome.kind === 'forgotten') {
      this.#noteAnswer(call);
    } else {
      this.#noteFailure(call, outcome.reason);
    }
  }

  #noteAnswer({ startedAt }: CallUnderWay): void {
    this.#failures = 0;
    this.#listener.onAnswer();
    this.#pause(this.#pacing.next(this.#timers.now() - startedAt));
  }

  #noteFailure({ kind, startedAt }: CallUnderWay, reason: string): void {
    this.#failures += 1;
    const waited = this.#timers.now() - startedAt;
    this.#listener.onFailure({ call: kind, waited, reason });
    const delay = Math.min(LONGEST_RETRY, FIRST_RETRY * 2 ** (this.#failures - 1));
    this.#pause(Math.max(FIRST_RETRY, Math.min(delay, LONGEST_RETRY - waited)));
  }

  #pause(delay: Milliseconds): void {
    this.#cancelPause = this.#timers.after(delay, () => {
      this.#cancelPause = null;
      this.#proceed();
    });
  }
}
