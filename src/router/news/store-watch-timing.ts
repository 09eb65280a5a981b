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
/** Timeout of such a watch: the data must not pass its maximum age meanwhile. */
const CONFIRMATION_TIMEOUT: Milliseconds = 400;
/**
 * Share of a bound for which a daemon acts on data without a newer confirmation. The rest covers a request's way to the
 * server through a link that is at capacity.
 */
const MAX_AGE_SHARE = 0.8;
/** Share of a bound after which a daemon without a newer confirmation asks the store for one. */
const CONFIRMATION_SHARE = 0.55;
/** The same for a daemon below a relay. The relay asks first and forwards the confirmation, so that not all daemons ask. */
const RELAYED_CONFIRMATION_SHARE = 0.62;

/** How long a watch waits for changes, and when it is given up. */
export interface WatchTiming {
  readonly wait: Milliseconds;
  readonly timeout: Milliseconds;
}

/** Timing of a watch that only confirms that there are no changes. */
export const CONFIRMATION_WATCH: WatchTiming = {
  wait: CONFIRMATION_WAIT,
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
  return { wait, timeout: wait + WATCH_SLACK };
}

/** Returns the age beyond which data must not be acted on, where changes must be in force within `bound`. */
export function maxDataAge(bound: Milliseconds): Milliseconds {
  return MAX_AGE_SHARE * bound;
}

/** Returns the age beyond which a daemon asks the store to confirm its data, where changes must be in force within `bound`. */
export function confirmationAge(bound: Milliseconds, isRelayed: boolean): Milliseconds {
  return bound * (isRelayed ? RELAYED_CONFIRMATION_SHARE : CONFIRMATION_SHARE);
}
