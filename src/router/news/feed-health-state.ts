/** State of this daemon's calls to the store, for each feed. */
import type { FeedName, Milliseconds } from '../model/identifiers.js';

/** State of the calls to the store for one feed. */
export interface FeedHealth {
  /** When the store last answered a list or watch request; minus infinity: never. */
  answeredAt: Milliseconds;
  /** Every change that the store accepted before this time has been applied here; minus infinity: never confirmed. */
  confirmedAt: Milliseconds;
  /** Number of calls that have ended without a response since the last response. */
  failures: number;
  /**
   * When a call last showed that the store is unavailable to this daemon, or two in a row ended without a response; minus infinity:
   * not since the last response that was not overdue.
   */
  unavailableAt: Milliseconds;
  /** Response time of the store that is expected of its next call. */
  responseTime: Milliseconds;
  /** When a confirmation was last requested, because none had come from the store or from other daemons for too long. */
  confirmationAskedAt: Milliseconds;
}

function createFeedHealth(): FeedHealth {
  return {
    answeredAt: Number.NEGATIVE_INFINITY,
    confirmedAt: Number.NEGATIVE_INFINITY,
    failures: 0,
    unavailableAt: Number.NEGATIVE_INFINITY,
    responseTime: 0,
    confirmationAskedAt: Number.NEGATIVE_INFINITY,
  };
}

/** Returns the health of all feeds at a daemon that has just started. */
export function createFeedHealths(): Record<FeedName, FeedHealth> {
  return {
    configuration: createFeedHealth(),
    servers: createFeedHealth(),
    evacuations: createFeedHealth(),
  };
}
