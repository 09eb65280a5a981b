/** What a feed of the store reports, and the timing that it is given. */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { WatchTiming } from '../router/news/store-watch-timing.js';
import type { FeedChange } from '../router/ports.js';
import type { Timers } from './timers.js';

/** A call that ended without a usable response, or whose response is overdue. */
export interface FeedFailure {
  readonly call: 'list' | 'watch';
  /** Time from the start of the call until it failed. */
  readonly waited: Milliseconds;
  readonly reason: string;
  /** Whether it shows that the store is unavailable to this daemon. */
  readonly isConclusive: boolean;
}

/** A response of the store to a call. */
export interface FeedAnswer {
  /** When the call was sent. */
  readonly sentAt: Milliseconds;
  /** All changes that the store had accepted by then have been reported; null: unknown. */
  readonly confirmedAt: Milliseconds | null;
  /** Time from the end of the call's wait, or from its start, to the response. */
  readonly responseTime: Milliseconds;
  /** Whether the call had been reported as failed before. */
  readonly isOverdue: boolean;
}

/** Timers and timeouts of a feed. */
export interface FeedTiming {
  readonly timers: Timers;
  /** Returns the timing of a watch for changes, given whether the last response contained changes. */
  readonly watchTiming: (followsChanges: boolean) => WatchTiming;
  /** Returns whether the event loop is so little behind that a missing response is not its fault. */
  readonly isLoopTimely: () => boolean;
}

/** Receives the contents of a feed and the outcomes of its calls. */
export interface FeedListener<Item> {
  onList(items: readonly FeedChange<Item>[], revision: number): void;
  onChanges(changes: readonly FeedChange<Item>[], revision: number): void;
  /** The store responded to a call. */
  onAnswer(answer: FeedAnswer): void;
  /** A call ended without a usable response. */
  onFailure(failure: FeedFailure): void;
}
