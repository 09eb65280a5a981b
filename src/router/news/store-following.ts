/**
 * Decides whether this daemon follows the store itself. The leader does, and a few of its children, so that no loss of
 * one of them stops the news; everybody else only while its parent has no news. Calls to the store are paid for, and
 * their number must not grow with the number of daemons.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { HEARTBEAT_PATIENCE } from '../ownership/ownership-timing.js';
import { isRelayed } from '../tree/tree-state.js';

/** A daemon that has just started looks for a leader this long, before it reads everything itself. */
const START_PATIENCE: Milliseconds = 250;
/** A parent sends all that it knows within this time; on slow machines a link takes 0.3 s to be up. */
const FIRST_NEWS_PATIENCE: Milliseconds = 700;
/**
 * A leader that the store has not confirmed for this long may hear no news either. Its watchers do, and a takeover takes
 * 3 s: more than these need not ask the store before that.
 */
const UNCONFIRMED_PATIENCE: Milliseconds = 4_000;
/** The same below a relay, which follows the store by then: all daemons at once would be too much for it. */
const RELAYED_PATIENCE: Milliseconds = 5_000;

function lacksNews(state: RouterState): boolean {
  return state.configuration === null || state.serversRevision === null;
}

function shouldFollow({ state, now }: RouterContext): boolean {
  const { tree, election, identity } = state;
  if (state.leadership !== null) {
    return true;
  }
  if (lacksNews(state)) {
    if (identity.isFirstStart !== true) {
      // Callers wait, perhaps at all daemons, and then no parent has anything to tell yet.
      return true;
    }
    const isConnecting = tree.parent !== null && election.leaderRefused === 0;
    return isConnecting
      ? now - tree.followedSince >= FIRST_NEWS_PATIENCE
      : now - election.startedAt >= START_PATIENCE;
  }
  if (now - tree.parentHeardAt > HEARTBEAT_PATIENCE || tree.watchers.includes(identity.daemon)) {
    return true;
  }
  const age = now - election.lastHeartbeatAt + election.confirmationAge;
  return age > (isRelayed(state) ? RELAYED_PATIENCE : UNCONFIRMED_PATIENCE);
}

/** Begins or ceases to follow the store. */
export function tickStoreFollowing(context: RouterContext): void {
  const { state } = context;
  const follows = shouldFollow(context);
  if (follows === state.followsStore) {
    return;
  }
  state.followsStore = follows;
  context.log('store_following', { follows, servers: state.serversRevision });
  const { serversRevision } = state;
  const configurationRevision = state.configuration === null ? null : state.configurationRevision;
  const evacuationsRevision = state.evacuations.revision === 0 ? null : state.evacuations.revision;
  context.emit({ kind: 'followStore', follows, serversRevision, configurationRevision, evacuationsRevision });
}
