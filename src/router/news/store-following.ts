/**
 * Decides whether this daemon watches the store itself. The leader does, and a few of its children, so that losing one of
 * them doesn't stop the updates; other daemons do so only while their parent sends no current data. Calls to the store are
 * billed, and their number must not grow with the number of daemons.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { HEARTBEAT_PATIENCE } from '../ownership/ownership-timing.js';
import { isRelayed } from '../tree/tree-state.js';
import { newsAge } from './news-age.js';
import { newsPatience } from './news-timing.js';

/** A daemon that has just started looks for a leader this long before it reads everything from the store. */
const START_PATIENCE: Milliseconds = 250;
/** A parent sends all data within this time. On slow machines a link takes 0.3 s to be established. */
const FIRST_NEWS_PATIENCE: Milliseconds = 700;

/**
 * A daemon that has lost its parent reads evacuations from the store only after this long, which saves calls: the next
 * leader usually sends them sooner, and the deployment allows seconds.
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
      // Callers are waiting. If all daemons have restarted, no parent has data to send yet.
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
  // The leader and its watchers may send heartbeats while the store doesn't answer them. Without this check the other
  // daemons found out 4 s later.
  return newsAge(context) > newsPatience(state.bounds, isRelayed(state.tree, state.election.leader?.address));
}

/**
 * Whether this daemon reads evacuations from the store. Daemons that watch the store for longer than a moment do; the others
 * receive evacuations with heartbeats.
 */
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

/** Starts or stops watching the store. */
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
