/**
 * What a daemon still believes after its machine was suspended: nothing that others may have changed meanwhile. Where the clock has
 * counted the time, ages tell so by themselves; where only the time of day jumped, they don't.
 */
import type {
  ObjectReadEvent,
  ObjectWrittenEvent,
  ReadOutcome,
  ResumedEvent,
  WriteOutcome,
} from './events.js';
import type { FeedName } from './model/identifiers.js';
import { discardPermits } from './limits/permit-exchange.js';
import { dropCandidacy } from './ownership/candidacy.js';
import type { RouterContext } from './router-context.js';

const STORE_FEEDS: readonly FeedName[] = ['configuration', 'servers'];

/** Comes before anything else after a suspension. */
export function resume(context: RouterContext, { length, isCounted }: ResumedEvent): void {
  const { state } = context;
  state.counters.suspensions += 1;
  context.log('machine_resumed', { length: Math.round(length), counted: isCounted }, 'warn');
  state.resumedAt = context.now;
  doubtLeadership(context);
  discardPermits(context);
  doubtNews(context);
}

const SUSPENDED_MEANWHILE = 'the machine was suspended meanwhile';

/** What a read says that began before a suspension: the object may have changed since. */
export function doubtRead({ state }: RouterContext, { sentAt, outcome }: ObjectReadEvent): ReadOutcome {
  return sentAt <= state.resumedAt ? { kind: 'failed', reason: SUSPENDED_MEANWHILE } : outcome;
}

/** What a write says that began before a suspension: it may have been overwritten since. A conflict stays one. */
export function doubtWrite({ state }: RouterContext, { sentAt, outcome }: ObjectWrittenEvent): WriteOutcome {
  return sentAt <= state.resumedAt && outcome.kind === 'written'
    ? { kind: 'unknown', reason: SUSPENDED_MEANWHILE }
    : outcome;
}

/** A leader orders nothing until the store has confirmed it anew; a candidate begins anew. */
function doubtLeadership(context: RouterContext): void {
  const { leadership } = context.state;
  if (leadership !== null) {
    leadership.confirmedAt = Number.NEGATIVE_INFINITY;
    leadership.nextConfirmationAt = context.now;
  }
  dropCandidacy(context, 'the machine was suspended');
}

/** Watches that were open, and connections that they used, may be dead: what is followed is listed anew. */
function doubtNews(context: RouterContext): void {
  const { state } = context;
  const feeds = state.followsStore ? STORE_FEEDS : [];
  const followed: readonly FeedName[] = state.followsEvacuations ? [...feeds, 'evacuations'] : feeds;
  for (const feed of followed) {
    state.feeds[feed].answeredAt = Number.NEGATIVE_INFINITY;
    context.emit({ kind: 'refreshFeed', feed });
  }
}
