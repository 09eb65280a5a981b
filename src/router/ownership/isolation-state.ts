/** What a daemon that is cut off has met. */
import type { Milliseconds } from '../model/identifiers.js';

/** What a daemon has met since it was cut off. */
export interface Isolation {
  /** When the store last answered a read of the leader's object. */
  storeAnsweredAt: Milliseconds;
  /** Owners that turned requests away while this daemon was cut off. */
  turnedAway: number;
  /** The view is old, and no newer one can be had for now. */
  viewIsOld: boolean;
}

/** The state of a daemon that has just started. */
export function createIsolation(): Isolation {
  return { storeAnsweredAt: Number.NEGATIVE_INFINITY, turnedAway: 0, viewIsOld: false };
}
