/** State of this daemon's calls to the store, for each feed. */
import type { FeedName, Milliseconds } from '../model/identifiers.js';

/** State of the calls to the store for one feed. */
export interface FeedHealth {
  /** When the store last answered a list or watch request; minus infinity: never. */
  answeredAt: Milliseconds;
  /** Whether the last call ended without a response. */
  isFailing: boolean;
}

function createFeedHealth(): FeedHealth {
  return { answeredAt: Number.NEGATIVE_INFINITY, isFailing: false };
}

/** Returns the health of all feeds at a daemon that has just started. */
export function createFeedHealths(): Record<FeedName, FeedHealth> {
  return {
    configuration: createFeedHealth(),
    servers: createFeedHealth(),
    evacuations: createFeedHealth(),
  };
}
