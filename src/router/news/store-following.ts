/**
 * Decides whether this daemon follows the store itself. The leader does, and a few of its children, so that no loss of
 * one of them stops the news; everybody else only while its parent has no news. Calls to the store are paid for, and
 * their number must not grow with the number of daemons.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { HEARTBEAT_TIMEOUT } from '../ownership/ownership-timing.js';
import { hasRelayParent } from '../tree/tree-state.js';
import { newsAge } from './news-age.js';
import { newsPatience } from './news-timing.js';

/** A daemon that has just started looks for a leader this long, before it reads everything itself. */
const START_PATIENCE: Milliseconds = 250;
/** A parent sends all that it knows within this time; on slow machines a link takes 0.3 s to be up. */
const FIRST_NEWS_PATIENCE: Milliseconds = 700;

/**
 * A daemon that has lost its parent reads evacuations after this long only: the next leader tells sooner as a rule, and the
 * deployment allows seconds. Saves calls to the store.
 */
const EVACUATION_PATIENCE: Milliseconds = 1_500;

function lacksNews(state: RouterState): boolean {
  return state.configuration === null || state.serversRevision === null;
}

function shouldFollow(context: RouterContext): boolean {
  const { state, now } = context;
  const { tree, election, identity } = state;
  if (state.leadership !== null) {
    return true;
  }
  if (lacksNews(state)) {
    if (identity.isFirstStart !== true) {
      // Callers wait, perhaps at all daemons, and then no parent has anything to tell yet.
      return true;
    }
    const isConnecting = tree.parent !== null && election.leaderRefusals === 0;
    return isConnecting
      ? now - tree.parentSince >= FIRST_NEWS_PATIENCE
      : now - election.startedAt >= START_PATIENCE;
  }
  if (now - tree.lastParentContactAt > HEARTBEAT_TIMEOUT || tree.watchers.includes(identity.daemon)) {
    return true;
  }
  // The leader and its watchers may be heard, and have had no word of the store: the others found out 4 s later.
  return (
    newsAge(context) > newsPatience(state.bounds, hasRelayParent(state.tree, state.election.leader?.address))
  );
}

/** Who follows the store for longer than a moment reads evacuations there, too; everybody else is told by heartbeats. */
function shouldFollowEvacuations({ state, now }: RouterContext): boolean {
  const { followsStore, followsStoreSince, leadership, tree, identity, bounds } = state;
  if (!followsStore || bounds.evacuation === null) {
    return false;
  }
  const isFollower = leadership !== null || tree.watchers.includes(identity.daemon);
  return isFollower || now - followsStoreSince >= EVACUATION_PATIENCE;
}

function tickEvacuationFollowing(context: RouterContext): void {
  const { state } = context;
  const follows = shouldFollowEvacuations(context);
  if (follows !== state.followsEvacuations) {
    state.followsEvacuations = follows;
    const { revision } = state.evacuations;
    context.emit({ kind: 'followEvacuations', follows, revision: revision === 0 ? null : revision });
  }
}

/** Begins or ceases to follow the store. */
export function tickStoreFollowing(context: RouterContext): void {
  tickServerFollowing(context);
  tickEvacuationFollowing(context);
}

function tickServerFollowing(context: RouterContext): void {
  const { state } = context;
  const follows = shouldFollow(context);
  if (follows === state.followsStore) {
    return;
  }
  state.followsStoreSince = context.now;
  state.followsStore = follows;
  context.log('store_following', { follows, servers: state.serversRevision });
  const { serversRevision } = state;
  const configurationRevision = state.configuration === null ? null : state.configurationRevision;
  context.emit({ kind: 'followStore', follows, serversRevision, configurationRevision });
}
