/** Tracks when the store last answered each feed, and which feeds are failing. */
import type { FeedAnsweredEvent, FeedFailedEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';

/** Share of the expected response time that is kept after a faster response. */
const RESPONSE_TIME_DECAY = 0.8;
/** A call that fails says nothing about the response times of later ones beyond this. */
const MAX_EXPECTED_RESPONSE_TIME: Milliseconds = 400;

/** Records that the store answered a list or watch request of a feed, and what the response confirms. */
export function receiveFeedAnswered(
  context: RouterContext,
  { feed, sentAt, confirmedAt, responseTime, isOverdue }: FeedAnsweredEvent,
): void {
  const health = context.state.feeds[feed];
  health.answeredAt = context.now;
  if (confirmedAt !== null && sentAt > context.state.resumedAt) {
    health.confirmedAt = Math.max(health.confirmedAt, confirmedAt);
  }
  health.responseTime = Math.max(responseTime, RESPONSE_TIME_DECAY * health.responseTime);
  if (!isOverdue) {
    health.unavailableAt = Number.NEGATIVE_INFINITY;
  }
  if (health.failures > 0) {
    health.failures = 0;
    context.log('feed_regained', { feed, response_time: Math.round(responseTime) });
  }
}

/** Records that a list or watch request of a feed ended without a usable response. */
export function receiveFeedFailed(context: RouterContext, event: FeedFailedEvent): void {
  const { feed, call, reason } = event;
  const health = context.state.feeds[feed];
  context.state.counters.feed_failures += 1;
  health.failures += 1;
  health.responseTime = Math.max(health.responseTime, Math.min(event.waited, MAX_EXPECTED_RESPONSE_TIME));
  if (event.isConclusive || health.failures > 1) {
    health.unavailableAt = context.now;
  }
  if (health.failures === 1) {
    context.log('feed_lost', { feed, call, waited: Math.round(event.waited), reason }, 'warn');
  }
}
