/**
 * The age of this daemon's copy of the store's data: the time since the store last confirmed to this daemon, or to the
 * daemons above it in the tree, that the data is complete. A leader or a relay whose own calls to the store go unanswered
 * may still send heartbeats, and the age lets its children detect that.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';

/** The maximum age that is reported. It fits into the 32 bits of the heartbeat's field. */
const LONGEST_AGE: Milliseconds = 600_000;

/** Returns when the store last confirmed both the configuration and the servers to this daemon itself. */
function confirmedByStoreAt({ feeds }: RouterState): Milliseconds {
  return Math.min(feeds.configuration.answeredAt, feeds.servers.answeredAt);
}

/** Returns how long ago the store confirmed this daemon's data, to itself or to its parent. */
export function newsAge({ state, now }: RouterContext): Milliseconds {
  const confirmedAt = Math.max(confirmedByStoreAt(state), state.tree.newsConfirmedAt);
  return Math.min(LONGEST_AGE, Math.max(0, now - confirmedAt));
}

/**
 * Records the age of the parent's data, from its heartbeat. The parent has sent everything that it knows, or sends it in
 * response to the next report.
 */
export function noteParentsNews({ state, now }: RouterContext, age: Milliseconds): void {
  state.tree.newsConfirmedAt = Math.max(state.tree.newsConfirmedAt, now - age);
}

/** Logs when the data becomes older than a configuration change may take to be in force, and when it is fresh again. */
export function tickNewsAge(context: RouterContext): void {
  const { state } = context;
  const age = newsAge(context);
  const isOld = state.configuration !== null && age > state.bounds.configuration;
  if (isOld === state.tree.newsAreOld) {
    return;
  }
  state.tree.newsAreOld = isOld;
  const { followsStore: follows } = state;
  context.log(isOld ? 'news_old' : 'news_fresh', { age: Math.round(age), follows }, isOld ? 'warn' : 'info');
}
