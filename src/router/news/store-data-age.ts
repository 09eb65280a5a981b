/**
 * The age of this daemon's copy of the store's data: the time since the store last confirmed to this daemon, or to the
 * daemons above it in the tree, that the data is complete. A leader or a relay whose own calls to the store go unanswered
 * may still send heartbeats, and the age lets its children detect that.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';

/** The maximum age that is reported. It fits into the 32 bits of the heartbeat's field. */
const MAX_REPORTED_AGE: Milliseconds = 600_000;

/** Returns when the store last confirmed both the configuration and the servers to this daemon itself. */
function storeConfirmedAt({ feeds }: RouterState): Milliseconds {
  return Math.min(feeds.configuration.answeredAt, feeds.servers.answeredAt);
}

/** Returns how long ago the store confirmed this daemon's data, to itself or to its parent. */
export function storeDataAge({ state, now }: RouterContext): Milliseconds {
  const confirmedAt = Math.max(storeConfirmedAt(state), state.tree.parentConfirmedAt);
  return Math.min(MAX_REPORTED_AGE, Math.max(0, now - confirmedAt));
}

/**
 * Records the age of the parent's data, from its heartbeat. The parent has sent everything that it knows, or sends it in
 * response to the next report.
 */
export function recordParentDataAge({ state, now }: RouterContext, age: Milliseconds): void {
  state.tree.parentConfirmedAt = Math.max(state.tree.parentConfirmedAt, now - age);
}

/** Logs when the data becomes older than a configuration change may take to be in force, and when it is fresh again. */
export function tickStoreDataAge(context: RouterContext): void {
  const { state } = context;
  const age = storeDataAge(context);
  const isOld = state.configuration !== null && age > state.bounds.configuration;
  if (isOld === state.tree.updatesAreStale) {
    return;
  }
  state.tree.updatesAreStale = isOld;
  const { followsStore: follows } = state;
  context.log(isOld ? 'news_old' : 'news_fresh', { age: Math.round(age), follows }, isOld ? 'warn' : 'info');
}
