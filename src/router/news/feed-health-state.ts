/** What a daemon knows of its calls to the store for each feed. */
import type { FeedName, Milliseconds } from '../model/identifiers.js';

/** What a daemon knows of its calls for one feed. */
export interface FeedHealth {
  /** When the store last answered a list or a watch; minus infinity: never. */
  answeredAt: Milliseconds;
  /** The last call ended without an answer. */
  failing: boolean;
}

function createFeedHealth(): FeedHealth {
  return { answeredAt: Number.NEGATIVE_INFINITY, failing: false };
}

/** The health of all feeds at a daemon that has just started. */
export function createFeedHealths(): Record<FeedName, FeedHealth> {
  return {
    configuration: createFeedHealth(),
    servers: createFeedHealth(),
    evacuations: createFeedHealth(),
  };
}
