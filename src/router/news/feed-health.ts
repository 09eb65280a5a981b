/** How recently the store has answered each feed, and whether a feed fails at present. */
import type { FeedAnsweredEvent, FeedFailedEvent } from '../events.js';
import type { RouterContext } from '../router-context.js';

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
