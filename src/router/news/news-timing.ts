/** How old news of the store may get before somebody asks, from the times in which changes must be in force. */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterBounds } from '../router-bounds.js';

/** Part of the tightest bound that a watch waits: what is left covers its slack, a list and the way to all daemons. */
const WATCH_SHARE = 0.5;
/** Each watch is a call to the store that is paid for. */
const SHORTEST_WATCH: Milliseconds = 250;

/** A watch is given up this much later than its answer is due; the platform's adapter keeps to the same. */
const CALL_SLACK: Milliseconds = 600;
/** Below a relay, which asks the store itself by then: not everybody at once. */
const RELAYED_FACTOR = 2;

/** The shortest of the times within which a change in the store must be in force. */
export function tightestBound({ configuration, drain, evacuation }: RouterBounds): Milliseconds {
  return Math.min(configuration, drain, evacuation ?? Number.POSITIVE_INFINITY);
}

/** How long a watch may wait for changes: it may be one that is never answered. */
export function watchTime(bounds: RouterBounds): Milliseconds {
  return Math.max(SHORTEST_WATCH, WATCH_SHARE * tightestBound(bounds));
}

/**
 * News that the store has confirmed longer ago than this are old: whoever it is that should tell this daemon, a call of
 * theirs has failed.
 */
export function newsPatience(bounds: RouterBounds, isRelayed: boolean): Milliseconds {
  const patience = watchTime(bounds) + CALL_SLACK;
  return isRelayed ? RELAYED_FACTOR * patience : patience;
}
