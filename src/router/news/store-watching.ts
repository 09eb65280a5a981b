/**
 * Decides whether this daemon watches the store itself. The leader does, and a few of its children, so that losing one of
 * them doesn't stop the updates; other daemons do so only while their parent sends nothing. Calls to the store are
 * billed, and their number must not grow with the number of daemons.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { HEARTBEAT_TIMEOUT } from '../ownership/ownership-timing.js';

/** A daemon that has just started looks for a leader this long before it reads everything from the store. */
const LEADER_DISCOVERY_TIMEOUT: Milliseconds = 250;
/** A parent sends all data within this time. On slow machines a link takes 0.3 s to be established. */
const FIRST_UPDATE_TIMEOUT: Milliseconds = 700;

/**
 * A daemon that has lost its parent reads evacuations from the store only after this long, which saves calls: the next
 * leader usually sends them sooner, and the deployment allows seconds.
 */
const EVACUATION_READ_DELAY: Milliseconds = 1_500;

function lacksStoreData(state: RouterState): boolean {
  return state.configuration === null || state.serversRevision === null;
}

function shouldWatchStore(context: RouterContext): boolean {
  const { state, now } = context;
  const { tree, election, identity } = state;
  if (state.leadership !== null) {
    return true;
  }
  if (lacksStoreData(state)) {
    if (identity.isFirstStart !== true) {
      // Callers are waiting. If all daemons have restarted, no parent has data to send yet.
      return true;
    }
    const isConnecting = tree.parent !== null && election.leaderRefusals === 0;
    return isConnecting
      ? now - tree.parentSince >= FIRST_UPDATE_TIMEOUT
      : now - election.startedAt >= LEADER_DISCOVERY_TIMEOUT;
  }
  return now - tree.lastParentContactAt > HEARTBEAT_TIMEOUT || tree.watchers.includes(identity.daemon);
}

/**
 * Whether this daemon reads evacuations from the store. Daemons that watch the store for longer than a moment do; the others
 * receive evacuations with heartbeats.
 */
function shouldWatchEvacuations({ state, now }: RouterContext): boolean {
  const { followsStore, followsStoreSince, leadership, tree, identity, bounds } = state;
  if (!followsStore || bounds.evacuation === null) {
    return false;
  }
  const isFollower = leadership !== null || tree.watchers.includes(identity.daemon);
  return isFollower || now - followsStoreSince >= EVACUATION_READ_DELAY;
}

function updateEvacuationWatch(context: RouterContext): void {
  const { state } = context;
  const follows = shouldWatchEvacuations(context);
  if (follows !== state.followsEvacuations) {
    state.followsEvacuations = follows;
    const { revision } = state.evacuations;
    context.emit({ kind: 'followEvacuations', follows, revision: revision === 0 ? null : revision });
  }
}

/** Starts or stops watching the store. */
export function tickStoreWatching(context: RouterContext): void {
  updateStoreWatch(context);
  updateEvacuationWatch(context);
}

function updateStoreWatch(context: RouterContext): void {
  const { state } = context;
  const follows = shouldWatchStore(context);
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
