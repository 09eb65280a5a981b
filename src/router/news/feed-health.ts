/** How recently the store has answered each feed, and whether a feed fails at present. */
import type { FeedAnsweredEvent, FeedFailedEvent } from '../events.js';
import type { FeedName, Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';

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

/** The store answered a list or a watch. */
export function receiveFeedAnswered(context: RouterContext, { feed }: FeedAnsweredEvent): void {
  const health = context.state.feeds[feed];
  health.answeredAt = context.now;
  if (health.failing) {
    health.failing = false;
    context.log('feed_regained', { feed });
  }
}

/** A list or a watch ended without an answer that can be used. */
export function receiveFeedFailed(context: RouterContext, event: FeedFailedEvent): void {
  const { feed, call, reason } = event;
  const health = context.state.feeds[feed];
  context.state.counters.feed_failures += 1;
  if (!health.failing) {
    health.failing = true;
    context.log('feed_lost', { feed, call, waited: Math.round(event.waited), reason }, 'warn');
  }
}
