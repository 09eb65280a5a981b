/** Tracks when the store last answered each feed, and which feeds are failing. */
import type { FeedAnsweredEvent, FeedFailedEvent } from '../events.js';
import type { RouterContext } from '../router-context.js';

/** Records that the store answered a list or watch request of a feed, and what the response confirms. */
export function receiveFeedAnswered(
  context: RouterContext,
  { feed, sentAt, confirmedAt }: FeedAnsweredEvent,
): void {
  const health = context.state.feeds[feed];
  health.answeredAt = context.now;
  if (confirmedAt !== null && sentAt > context.state.resumedAt) {
    health.confirmedAt = Math.max(health.confirmedAt, confirmedAt);
  }
  if (health.failures > 0) {
    health.failures = 0;
    health.unavailableAt = Number.NEGATIVE_INFINITY;
    context.log('feed_regained', { feed });
  }
}

/** Records that a list or watch request of a feed ended without a usable response. */
export function receiveFeedFailed(context: RouterContext, event: FeedFailedEvent): void {
  const { feed, call, reason } = event;
  const health = context.state.feeds[feed];
  context.state.counters.feed_failures += 1;
  health.failures += 1;
  if (event.isConclusive || health.failures > 1) {
    health.unavailableAt = context.now;
  }
  if (health.failures === 1) {
    context.log('feed_lost', { feed, call, waited: Math.round(event.waited), reason }, 'warn');
  }
}
