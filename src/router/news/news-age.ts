/**
 * How old this daemon's news of the store are: since when nobody that it hears has had the store's word that they are
 * complete. A leader or a relay whose own calls go unanswered may be heard all the same, and its children are to notice.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';

/** The greatest age that is told: in 32 bits. */
const LONGEST_AGE: Milliseconds = 600_000;

/** When the store last confirmed configuration and servers to this daemon itself. */
function confirmedByStoreAt({ feeds }: RouterState): Milliseconds {
  return Math.min(feeds.configuration.answeredAt, feeds.servers.answeredAt);
}

/** How long ago the store confirmed what this daemon knows, to itself or to those that it hears. */
export function newsAge({ state, now }: RouterContext): Milliseconds {
  const confirmedAt = Math.max(confirmedByStoreAt(state), state.tree.parentConfirmedAt);
  return Math.min(LONGEST_AGE, Math.max(0, now - confirmedAt));
}

/** The parent tells how old its news are. What it knows it has sent, or will with the next report. */
export function noteParentsNews({ state, now }: RouterContext, age: Milliseconds): void {
  state.tree.parentConfirmedAt = Math.max(state.tree.parentConfirmedAt, now - age);
}

/** Says when news get older than changes may take to be in force, and when they are fresh again. */
export function tickNewsAge(context: RouterContext): void {
  const { state } = context;
  const age = newsAge(context);
  const isOld = state.configuration !== null && age > state.bounds.configuration;
  if (isOld === state.tree.updatesAreStale) {
    return;
  }
  state.tree.updatesAreStale = isOld;
  const { followsStore: follows } = state;
  context.log(isOld ? 'news_old' : 'news_fresh', { age: Math.round(age), follows }, isOld ? 'warn' : 'info');
}
