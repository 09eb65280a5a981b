/**
 * Invalidates what others may have changed while the machine was suspended. If the daemon's clock advanced during the suspension,
 * the ages of known facts already show that they are stale; if only the time of day jumped, the ages don't show it.
 */
import type {
  ObjectReadEvent,
  ObjectWrittenEvent,
  ReadOutcome,
  ResumedEvent,
  WriteOutcome,
} from './events.js';
import type { FeedName, Milliseconds } from './model/identifiers.js';
import { discardPermits } from './limits/permit-exchange.js';
import { dropCandidacy } from './ownership/candidacy.js';
import { discardConfirmations } from './news/store-data-age.js';
import type { RouterContext } from './router-context.js';

/** Delay from the end of a suspension to the next report: the shortest that makes its time a later one. */
const REPORT_DELAY: Milliseconds = 1;

const STORE_FEEDS: readonly FeedName[] = ['configuration', 'servers'];

/** Handles the end of a suspension, before any other event that follows it. */
export function handleResumed(context: RouterContext, { length, isCounted }: ResumedEvent): void {
  const { state } = context;
  state.counters.suspensions += 1;
  context.log('machine_resumed', { length: Math.round(length), counted: isCounted }, 'warn');
  state.resumedAt = context.now;
  invalidateLeadership(context);
  discardConfirmations(state);
  discardPermits(context);
  refreshWatchedFeeds(context);
  // The parent's response confirms this daemon's data again. A report with the time of the resume could have been sent before it.
  state.election.nextReportAt = context.now + REPORT_DELAY;
}

const SUSPENDED_REASON = 'the machine was suspended meanwhile';

/** Turns the outcome of a read that was sent before a suspension into a failure: the object may have changed since. */
export function invalidateEarlierRead(
  { state }: RouterContext,
  { sentAt, outcome }: ObjectReadEvent,
): ReadOutcome {
  return sentAt <= state.resumedAt ? { kind: 'failed', reason: SUSPENDED_REASON } : outcome;
}

/**
 * Turns the success of a write that was sent before a suspension into an unknown outcome: the object may have been overwritten
 * since. A conflict remains a conflict.
 */
export function invalidateEarlierWrite(
  { state }: RouterContext,
  { sentAt, outcome }: ObjectWrittenEvent,
): WriteOutcome {
  return sentAt <= state.resumedAt && outcome.kind === 'written'
    ? { kind: 'unknown', reason: SUSPENDED_REASON }
    : outcome;
}

/** Makes a leader issue no grants or releases until the store confirms its leadership again, and ends a candidacy. */
function invalidateLeadership(context: RouterContext): void {
  const { leadership } = context.state;
  if (leadership !== null) {
    leadership.confirmedAt = Number.NEGATIVE_INFINITY;
    leadership.nextConfirmationAt = context.now;
  }
  dropCandidacy(context, 'the machine was suspended');
}

/** Lists every watched feed again: open watches and their connections may be dead. */
function refreshWatchedFeeds(context: RouterContext): void {
  const { state } = context;
  const feeds = state.followsStore ? STORE_FEEDS : [];
  const followed: readonly FeedName[] = state.followsEvacuations ? [...feeds, 'evacuations'] : feeds;
  for (const feed of followed) {
    state.feeds[feed].answeredAt = Number.NEGATIVE_INFINITY;
    context.emit({ kind: 'refreshFeed', feed });
  }
}
