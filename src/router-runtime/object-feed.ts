/**
 * Follows a list of objects in the store: lists it, then watches it for changes, and lists it again when the watch can't be continued
 * from the last known revision.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import { CONFIRMATION_WATCH, type WatchTiming } from '../router/news/store-watch-timing.js';
import type {
  CancelCall,
  FailedCall,
  FeedSource,
  ListOutcome,
  WatchedChanges,
  WatchOutcome,
} from '../router/ports.js';
import type { FeedFailure, FeedListener, FeedTiming } from './feed-listener.js';
import type { CancelTimer, Timers } from './timers.js';
import { WatchPacing } from './watch-pacing.js';

/** The shortest delay from the end of a failed call to the start of the next one. */
const MIN_RETRY_DELAY: Milliseconds = 100;
/**
 * The longest interval between the starts of two failing calls. An entry that expired during an outage of the store is back in the list
 * 2 s after the outage, and the store never answers a call that it received during the outage.
 */
const MAX_RETRY_INTERVAL: Milliseconds = 1_500;

/**
 * Overdue confirmations that are left in flight beside the newest one. A store whose responses take longer than the interval between
 * two confirmations would otherwise never confirm anything.
 */
const MAX_OVERDUE_CALLS = 2;

interface ActiveCall {
  readonly kind: FeedFailure['call'];
  readonly startedAt: Milliseconds;
  /** Whether the call is answered at once, so that it need not be replaced by a confirmation. */
  readonly isImmediate: boolean;
  /** Time for which the store waits for changes before it responds. */
  readonly wait: Milliseconds;
  /** Whether the call has been reported as failed although its response still counts. */
  isOverdue: boolean;
  cancel: CancelCall;
}

function hasChanges({ changes, hasUnnamed }: WatchedChanges<unknown>): boolean {
  return changes.length > 0 || hasUnnamed === true;
}

export class ObjectFeed<Item> {
  readonly #source: FeedSource<Item>;
  readonly #listener: FeedListener<Item>;
  readonly #timers: Timers;
  readonly #watchTiming: (followsChanges: boolean) => WatchTiming;
  readonly #isLoopTimely: () => boolean;
  readonly #pacing = new WatchPacing();
  /** All changes up to this revision are known; null if the next call must list everything. */
  #revision: number | null = null;
  #isFollowed = false;
  #isRefreshPending = false;
  /** A call has been asked for that shows at once whether there are changes. */
  #isConfirmationPending = false;
  #isClosed = false;
  #consecutiveFailures = 0;
  /** Whether the last response to a watch contained changes. */
  #hasChanged = false;
  #call: ActiveCall | null = null;
  /** Overdue confirmations beside which newer calls were started, oldest first. */
  #overdueCalls: ActiveCall[] = [];
  #cancelPause: CancelTimer | null = null;

  constructor(source: FeedSource<Item>, listener: FeedListener<Item>, timing: FeedTiming) {
    this.#source = source;
    this.#listener = listener;
    this.#timers = timing.timers;
    this.#watchTiming = timing.watchTiming;
    this.#isLoopTimely = timing.isLoopTimely;
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

  /**
   * Asks the store at once whether there are changes after `revision`; null: after the last known one. Lists instead if there is no
   * revision, or if the store has forgotten its history. A watch that waits for changes is cancelled, because the store may never
   * answer it; other calls are left to end, since their responses may be arriving. An overdue one is asked beside.
   */
  confirm(revision: number | null): void {
    if (this.#call?.isImmediate === true && !this.#call.isOverdue) {
      return;
    }
    this.#isConfirmationPending = true;
    if (!this.#isRefreshPending) {
      this.#revision = revision ?? this.#revision;
    }
    if (this.#call?.isOverdue === true) {
      this.#setAsideOverdueCall(this.#call);
    } else {
      this.#cancelCall();
    }
    this.#cancelPause?.();
    this.#cancelPause = null;
    this.#startNextCall();
  }

  /** Cancels the call in flight and makes no more calls. */
  close(): void {
    this.#isClosed = true;
    this.#cancelCall();
    this.#overdueCalls.forEach((call) => call.cancel());
    this.#overdueCalls = [];
    this.#cancelPause?.();
  }

  #cancelCall(): void {
    this.#call?.cancel();
    this.#call = null;
  }

  #setAsideOverdueCall(call: ActiveCall): void {
    this.#call = null;
    this.#overdueCalls.push(call);
    if (this.#overdueCalls.length > MAX_OVERDUE_CALLS) {
      this.#overdueCalls.shift()?.cancel();
    }
  }

  /** Starts the next call, unless a call is in flight or the pause before the next one has not passed. */
  #startNextCall(): void {
    const isIdle = this.#call === null && this.#cancelPause === null;
    const isConfirmation = this.#isConfirmationPending;
    if (this.#isClosed || !isIdle || !(this.#isFollowed || this.#isRefreshPending || isConfirmation)) {
      return;
    }
    this.#isRefreshPending = false;
    this.#isConfirmationPending = false;
    if (this.#revision === null) {
      this.#list();
    } else {
      this.#watch(this.#revision, isConfirmation ? CONFIRMATION_WATCH : this.#watchTiming(this.#hasChanged));
    }
  }

  #list(): void {
    const call = this.#startCall('list', true, 0);
    call.cancel = this.#source.list((outcome) => this.#receiveList(call, outcome));
  }

  #watch(revision: number, timing: WatchTiming): void {
    const call = this.#startCall('watch', timing === CONFIRMATION_WATCH, timing.wait);
    // The store never answers a watch that it received during an outage or whose connection is dead. With a long timeout, changes
    // would take effect late on all daemons.
    call.cancel = this.#source.watch(
      revision,
      timing,
      (outcome) => this.#receiveWatch(call, outcome),
      () => this.#reportOverdue(call),
    );
  }

  #startCall(kind: FeedFailure['call'], isImmediate: boolean, wait: Milliseconds): ActiveCall {
    const startedAt = this.#timers.now();
    const call = { kind, startedAt, isImmediate, wait, isOverdue: false, cancel: () => undefined };
    this.#call = call;
    return call;
  }

  /** Reports a call as failed and leaves it in flight. */
  #reportOverdue(call: ActiveCall): void {
    call.isOverdue = true;
    this.#reportFailure(call, { reason: 'the response is overdue', isResponding: false });
  }

  #receiveList(call: ActiveCall, outcome: ListOutcome<Item>): void {
    this.#call = null;
    if (outcome.kind === 'failed') {
      this.#recordFailure(call, outcome);
      return;
    }
    this.#revision = outcome.revision;
    if (outcome.kind === 'listed') {
      this.#listener.onList(outcome.items, outcome.revision);
    } else {
      // Items that a part of the list doesn't contain may still exist.
      this.#listener.onChanges(outcome.items, outcome.revision);
    }
    this.#recordResponse(call, call.startedAt);
  }

  #receiveWatch(call: ActiveCall, outcome: WatchOutcome<Item>): void {
    if (this.#call !== call) {
      this.#receiveOverdue(call, outcome);
      return;
    }
    this.#call = null;
    if (outcome.kind === 'changes') {
      this.#hasChanged = hasChanges(outcome);
      this.#recordResponse(call, this.#applyChanges(call, outcome));
      return;
    }
    // The next call lists everything, including the changes that the watch may have missed.
    this.#revision = null;
    if (outcome.kind === 'forgotten') {
      this.#isRefreshPending = true;
      this.#recordResponse(call, null);
    } else {
      this.#recordFailure(call, outcome);
    }
  }

  /** Handles the end of an overdue call beside which a newer one was started. That one shows whether the store still has the history. */
  #receiveOverdue(call: ActiveCall, outcome: WatchOutcome<Item>): void {
    this.#overdueCalls = this.#overdueCalls.filter((other) => other !== call);
    if (outcome.kind === 'changes') {
      this.#reportAnswer(call, this.#applyChanges(call, outcome));
    }
  }

  /** Reports the changes of a watch. Returns the time up to which they confirm the feed. */
  #applyChanges(call: ActiveCall, outcome: WatchedChanges<Item>): Milliseconds {
    // A watch without changes doesn't advance the revision: a store that is about to discard its history may have withheld changes.
    if (hasChanges(outcome)) {
      this.#revision = Math.max(this.#revision ?? 0, outcome.revision);
      this.#listener.onChanges(outcome.changes, outcome.revision);
    }
    return this.#confirmedBy(call, !hasChanges(outcome));
  }

  /**
   * Returns the earliest time at which the store may have produced a response. A watch without changes was answered at the end
   * of its wait, which began when the call reached the store. Others may have been answered at once and read late.
   */
  #confirmedBy({ startedAt, wait }: ActiveCall, isEmpty: boolean): Milliseconds {
    const hasWaited = this.#timers.now() - startedAt >= wait;
    return isEmpty && hasWaited ? startedAt + wait : startedAt;
  }

  #recordResponse(call: ActiveCall, confirmedAt: Milliseconds | null): void {
    this.#consecutiveFailures = 0;
    this.#reportAnswer(call, confirmedAt);
    this.#schedulePause(this.#pacing.nextPause(this.#timers.now() - call.startedAt));
  }

  #reportAnswer({ startedAt, wait, isOverdue }: ActiveCall, confirmedAt: Milliseconds | null): void {
    const responseTime = Math.max(0, this.#timers.now() - startedAt - wait);
    this.#listener.onAnswer({ sentAt: startedAt, confirmedAt, responseTime, isOverdue });
  }

  #reportFailure({ kind, startedAt }: ActiveCall, { reason, isResponding }: Omit<FailedCall, 'kind'>): void {
    const waited = this.#timers.now() - startedAt;
    const isConclusive = !isResponding && this.#isLoopTimely();
    this.#listener.onFailure({ call: kind, waited, reason, isConclusive });
  }

  #recordFailure(call: ActiveCall, failure: FailedCall): void {
    this.#consecutiveFailures += 1;
    this.#reportFailure(call, failure);
    const waited = this.#timers.now() - call.startedAt;
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
