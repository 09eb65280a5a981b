/** Timeouts for watching the store, derived from the times within which changes must be in force. */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterBounds } from '../router-bounds.js';

/**
 * Share of the shortest bound that a watch waits. The rest covers its slack, a list request and the propagation to all
 * daemons.
 */
const WATCH_TIME_SHARE = 0.5;
/** Minimum time that a watch waits: each watch is a billed call to the store. */
const MIN_WATCH_TIME: Milliseconds = 250;

/** A watch times out this much later than its response is due. The platform's store adapter uses the same value. */
const WATCH_SLACK: Milliseconds = 600;
/** Factor for daemons below a relay. The relay itself asks the store first, so that not all daemons ask at once. */
const RELAYED_MAX_AGE_FACTOR = 2;

/** Returns the shortest of the times within which a change in the store must be in force. */
export function shortestPropagationBound({ configuration, drain, evacuation }: RouterBounds): Milliseconds {
  return Math.min(configuration, drain, evacuation ?? Number.POSITIVE_INFINITY);
}

/** Returns how long a watch waits for changes. The time is bounded because a watch may never be answered. */
export function watchTime(bounds: RouterBounds): Milliseconds {
  return Math.max(MIN_WATCH_TIME, WATCH_TIME_SHARE * shortestPropagationBound(bounds));
}

/**
 * Returns the age beyond which this daemon's copy of the store's data is stale: a call to the store by the daemon that
 * should have sent updates must have failed.
 */
export function maxStoreDataAge(bounds: RouterBounds, isRelayed: boolean): Milliseconds {
  const maxAge = watchTime(bounds) + WATCH_SLACK;
  return isRelayed ? RELAYED_MAX_AGE_FACTOR * maxAge : maxAge;
}
