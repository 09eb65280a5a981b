/**
 * Follows a list of objects in the store: lists it, then watches it for changes, and lists it again when the watch can't be continued
 * from the last known revision.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { CancelCall, FeedChange, FeedSource, ListOutcome, WatchOutcome } from '../router/ports.js';
import type { CancelTimer, Timers } from './timers.js';
import { WatchPacing } from './watch-pacing.js';

/** The shortest delay from the end of a failed call to the start of the next one. */
const MIN_RETRY_DELAY: Milliseconds = 100;
/**
 * The longest interval between the starts of two failing calls. An entry that expired during an outage of the store is back in the list
 * 2 s after the outage, and the store never answers a call that it received during the outage.
 */
const MAX_RETRY_INTERVAL: Milliseconds = 1_500;

/** A call that ended without a usable response. */
export interface FeedFailure {
  readonly call: 'list' | 'watch';
  /** Time from the start of the call until it failed. */
  readonly waited: Milliseconds;
  readonly reason: string;
}

/** Timers and timeouts of a feed. */
export interface FeedTiming {
  readonly timers: Timers;
  /** Returns how long a watch waits for changes. */
  readonly watchTimeout: () => Milliseconds;
}

/** Receives the contents of a feed and the outcomes of its calls. */
export interface FeedListener<Item> {
  onList(items: readonly FeedChange<Item>[], revision: number): void;
  onChanges(changes: readonly FeedChange<Item>[], revision: number): void;
  /** The store responded to a call. */
  onAnswer(): void;
  /** A call ended without a usable response. */
  onFailure(failure: FeedFailure): void;
}

interface ActiveCall {
  readonly kind: FeedFailure['call'];
  readonly startedAt: Milliseconds;
  cancel: CancelCall;
}

export class ObjectFeed<Item> {
  readonly #source: FeedSource<Item>;
  readonly #listener: FeedListener<Item>;
  readonly #timers: Timers;
  readonly #watchTimeout: () => Milliseconds;
  readonly #pacing = new WatchPacing();
  /** All changes up to this revision are known; null if the next call must list everything. */
  #revision: number | null = null;
  #isFollowed = false;
  #isRefreshPending = false;
  #isClosed = false;
  #consecutiveFailures = 0;
  #call: ActiveCall | null = null;
  #cancelPause: CancelTimer | null = null;

  constructor(source: FeedSource<Item>, listener: FeedListener<Item>, timing: FeedTiming) {
    this.#source = source;
    this.#listener = listener;
    this.#timers = timing.timers;
    this.#watchTimeout = timing.watchTimeout;
  }

  /** Starts to follow the list. All changes up to `revision` are known already; null if there is no such revision. */
  start(revision: number | null): void {
    this.#isFollowed = true;
    this.#revision = revision ?? this.#revision;
    this.#startNextCall();
  }

  /** Stops following the list. A watch in flight continues and its changes are reported, since its cost has been paid. */
  stop(): void {
    this.#isFollowed = false;
  }

  /** Lists again at once, because the known contents may be stale. */
  refresh(): void {
    this.#isRefreshPending = true;
    this.#revision = null;
    if (this.#call?.kind === 'watch') {
      this.#cancelCall();
    }
    this.#startNextCall();
  }

  /** Cancels the call in flight and makes no more calls. */
  close(): void {
    this.#isClosed = true;
    this.#cancelCall();
    this.#cancelPause?.();
  }

  #cancelCall(): void {
    this.#call?.cancel();
    this.#call = null;
  }

  /** Starts the next call, unless a call is in flight or the pause before the next one has not passed. */
  #startNextCall(): void {
    const isIdle = this.#call === null && this.#cancelPause === null;
    if (this.#isClosed || !isIdle || !(this.#isFollowed || this.#isRefreshPending)) {
      return;
    }
    this.#isRefreshPending = false;
    if (this.#revision === null) {
      this.#list();
    } else {
      this.#watch(this.#revision);
    }
  }

  #list(): void {
    const call = this.#startCall('list');
    call.cancel = this.#source.list((outcome) => this.#receiveList(call, outcome));
  }

  #watch(revision: number): void {
    const call = this.#startCall('watch');
    // The store never answers a watch that it received during an outage or whose connection is dead. With a long timeout, changes
    // would take effect late on all daemons.
    call.cancel = this.#source.watch(revision, this.#watchTimeout(), (outcome) =>
      this.#receiveWatch(call, outcome),
    );
  }

  #startCall(kind: FeedFailure['call']): ActiveCall {
    const call = { kind, startedAt: this.#timers.now(), cancel: () => undefined };
    this.#call = call;
    return call;
  }

  #receiveList(call: ActiveCall, outcome: ListOutcome<Item>): void {
    this.#call = null;
    if (outcome.kind === 'failed') {
      this.#recordFailure(call, outcome.reason);
      return;
    }
    this.#revision = outcome.revision;
    this.#listener.onList(outcome.items, outcome.revision);
    this.#recordResponse(call);
  }

  #receiveWatch(call: ActiveCall, outcome: WatchOutcome<Item>): void {
    this.#call = null;
    if (outcome.kind === 'changes') {
      // A watch without changes doesn't advance the revision: a store that is about to discard its history may have withheld changes.
      if (outcome.changes.length > 0) {
        this.#revision = Math.max(this.#revision ?? 0, outcome.revision);
        this.#listener.onChanges(outcome.changes, outcome.revision);
      }
      this.#recordResponse(call);
      return;
    }
    // The next call lists everything, including the changes that the watch may have missed.
    this.#revision = null;
    if (outcome.kind === 'forgotten') {
      this.#recordResponse(call);
    } else {
      this.#recordFailure(call, outcome.reason);
    }
  }

  #recordResponse({ startedAt }: ActiveCall): void {
    this.#consecutiveFailures = 0;
    this.#listener.onAnswer();
    this.#schedulePause(this.#pacing.nextPause(this.#timers.now() - startedAt));
  }

  #recordFailure({ kind, startedAt }: ActiveCall, reason: string): void {
    this.#consecutiveFailures += 1;
    const waited = this.#timers.now() - startedAt;
    this.#listener.onFailure({ call: kind, waited, reason });
    const delay = Math.min(MAX_RETRY_INTERVAL, MIN_RETRY_DELAY * 2 ** (this.#consecutiveFailures - 1));
    this.#schedulePause(Math.max(MIN_RETRY_DELAY, Math.min(delay, MAX_RETRY_INTERVAL - waited)));
  }

  #schedulePause(delay: Milliseconds): void {
    this.#cancelPause = this.#timers.after(delay, () => {
      this.#cancelPause = null;
      this.#startNextCall();
    });
  }
}
