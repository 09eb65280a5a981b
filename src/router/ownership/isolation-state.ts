/** State of the detection that a daemon is cut off from updates of ownership. */
import type { Milliseconds } from '../model/identifiers.js';

/** What a daemon has observed since it was cut off. */
export interface IsolationState {
  /** Time at which the store last answered a read of the leader record. */
  storeAnsweredAt: Milliseconds;
  /** Requests that owners rejected, while this daemon was cut off, because they did not hold the key. */
  misdirectedRequests: number;
  /** The view is stale, and no newer one can be obtained for now. */
  isViewStale: boolean;
}

/** Returns the state of a daemon that has just started. */
export function createIsolationState(): IsolationState {
  return { storeAnsweredAt: Number.NEGATIVE_INFINITY, misdirectedRequests: 0, isViewStale: false };
}
