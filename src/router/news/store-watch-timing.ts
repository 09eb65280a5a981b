/** Timing of calls to the store, derived from the times within which changes must be in force. */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterBounds } from '../router-bounds.js';

/** Share of the shortest bound that a watch of the leader waits. An empty response confirms the data of all daemons. */
const LEADER_WATCH_SHARE = 0.25;
/** The same for the daemons that watch beside the leader: they only have to notice changes that the leader misses. */
const WATCHER_WATCH_SHARE = 0.75;
/**
 * How long the leader's watch waits that follows a response with changes. Such a response confirms only what held when its call
 * was sent, so the next one is due soon.
 */
const LEADER_WAIT_AFTER_CHANGES: Milliseconds = 50;
/** Minimum time that a watch waits: each watch is a billed call to the store. */
const MIN_WATCH_TIME: Milliseconds = 250;
/** A watch times out this much later than its response is due. A slow store takes 0.35 s to respond. */
const WATCH_SLACK: Milliseconds = 600;
/** How long a watch waits that only confirms that there are no changes. */
const CONFIRMATION_WAIT: Milliseconds = 10;
/** Such a watch is overdue after this time: the data must not pass its maximum age before it is asked for again. */
const CONFIRMATION_DUE_TIME: Milliseconds = 400;
/** Timeout of such a watch. A response that comes after it would confirm data that is nearly too old. */
const CONFIRMATION_TIMEOUT: Milliseconds = 1_500;
/**
 * Share of a bound for which a daemon acts on data without a newer confirmation. The rest covers a request's way to the
 * server through a link that is at capacity.
 */
const MAX_AGE_SHARE = 0.8;
/** Share of a bound after which a daemon without a newer confirmation asks the store for one. */
const CONFIRMATION_SHARE = 0.55;
/** The same for a daemon below a relay. The relay asks first and forwards the confirmation, so that not all daemons ask. */
const RELAYED_CONFIRMATION_SHARE = 0.62;
/** The same for the leader, whose confirmation must reach all daemons before they ask themselves. */
const LEADER_CONFIRMATION_SHARE = 0.42;
/** A response may take this much longer than the recent ones. */
const RESPONSE_TIME_FACTOR = 1.25;
/** Covers the interval of ticks, at which daemons decide to ask, and the way of a request. */
const CONFIRMATION_MARGIN: Milliseconds = 100;

/** How long a watch waits for changes, when its response is overdue, and when it is given up. */
export interface WatchTiming {
  readonly wait: Milliseconds;
  /** An overdue response still counts. Null: the watch is given up before. */
  readonly dueTime: Milliseconds | null;
  readonly timeout: Milliseconds;
}

/** Timing of a watch that only confirms that there are no changes. */
export const CONFIRMATION_WATCH: WatchTiming = {
  wait: CONFIRMATION_WAIT,
  dueTime: CONFIRMATION_DUE_TIME,
  timeout: CONFIRMATION_TIMEOUT,
};

/** Returns the shortest of the times within which a change in the store must be in force. */
export function shortestPropagationBound({ configuration, drain, evacuation }: RouterBounds): Milliseconds {
  return Math.min(configuration, drain, evacuation ?? Number.POSITIVE_INFINITY);
}

/**
 * Returns the timing of a watch for changes. The wait is bounded because a watch may never be answered.
 *
 * @param followsChanges whether the response to the last watch contained changes
 */
export function watchTiming(bounds: RouterBounds, isLeader: boolean, followsChanges: boolean): WatchTiming {
  const share = isLeader ? LEADER_WATCH_SHARE : WATCHER_WATCH_SHARE;
  const regularWait = Math.max(MIN_WATCH_TIME, Math.floor(share * shortestPropagationBound(bounds)));
  const wait = isLeader && followsChanges ? LEADER_WAIT_AFTER_CHANGES : regularWait;
  return { wait, dueTime: null, timeout: wait + WATCH_SLACK };
}

/** Returns the age beyond which data must not be acted on, where changes must be in force within `bound`. */
export function maxDataAge(bound: Milliseconds): Milliseconds {
  return MAX_AGE_SHARE * bound;
}

/** Place of a daemon in the tree by which the store's data is propagated. */
export type TreePlace = 'leader' | 'childOfLeader' | 'belowRelay';

const CONFIRMATION_SHARES: Readonly<Record<TreePlace, number>> = {
  leader: LEADER_CONFIRMATION_SHARE,
  childOfLeader: CONFIRMATION_SHARE,
  belowRelay: RELAYED_CONFIRMATION_SHARE,
};

/**
 * Returns the age beyond which a daemon asks the store to confirm its data, where changes must be in force within `bound`. It asks
 * sooner if the store takes long to respond: other daemons should still have the leader's confirmation in time, and no daemon's data
 * may become too old before the response.
 */
export function confirmationAge(
  bound: Milliseconds,
  place: TreePlace,
  responseTime: Milliseconds,
): Milliseconds {
  const expectedWait = RESPONSE_TIME_FACTOR * responseTime;
  const age = bound * CONFIRMATION_SHARES[place];
  return place === 'leader'
    ? age - expectedWait
    : Math.min(age, maxDataAge(bound) - CONFIRMATION_MARGIN - expectedWait);
}
