/** State of the detection that a daemon is cut off from updates of ownership. */
import type { Milliseconds } from '../model/identifiers.js';

/** What a daemon has observed since it was cut off. */
export interface Isolation {
  /** Time at which the store last answered a read of the leader record. */
  storeAnsweredAt: Milliseconds;
  /** Requests that owners rejected, while this daemon was cut off, because they did not hold the key. */
  turnedAway: number;
  /** The view is stale, and no newer one can be obtained for now. */
  viewIsOld: boolean;
}

/** Returns the state of a daemon that has just started. */
export function createIsolation(): Isolation {
  return { storeAnsweredAt: Number.NEGATIVE_INFINITY, turnedAway: 0, viewIsOld: false };
}
