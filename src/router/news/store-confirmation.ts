/**
 * Keeps the age of this daemon's data within the bounds when the other daemons are too slow to confirm it: the daemon asks the
 * store itself before the data is too old to act on. If the store doesn't answer, this daemon is cut off from it or the store
 * is unavailable; the daemon then goes on with what it knows, because refusing all requests would serve no caller.
 */
import type { FeedName, Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { hasRelayParent } from '../tree/tree-state.js';
import { evacuationsConfirmedAt, storeDataConfirmedAt } from './store-data-age.js';
import { confirmationAge, maxDataAge, type TreePlace } from './store-watch-timing.js';

/** Minimum time between two requests for a confirmation of a feed. */
const CONFIRMATION_INTERVAL: Milliseconds = 500;
/** The same once several calls have failed, which saves calls that are billed nevertheless. A single failure may be an accident. */
const FAILED_CONFIRMATION_INTERVAL: Milliseconds = 1_500;
/** The store counts as unavailable for this long after a call to it has failed; longer than a call and the interval together. */
const UNAVAILABILITY_VALIDITY: Milliseconds = 2_200;

/** A parent confirms the first data that it sends within this time. */
const FIRST_CONFIRMATION_TIMEOUT: Milliseconds = 300;

const STORE_DATA_FEEDS: readonly FeedName[] = ['configuration', 'servers'];
const EVACUATION_FEEDS: readonly FeedName[] = ['evacuations'];

function isUnavailable({ feeds }: RouterState, feed: FeedName, now: Milliseconds): boolean {
  return now - feeds[feed].unavailableAt <= UNAVAILABILITY_VALIDITY;
}

/** Returns whether the configuration and the servers are confirmed up to shortly before a time, where changes must be in force within `bound`. */
export function isStoreDataConfirmed(state: RouterState, at: Milliseconds, bound: Milliseconds): boolean {
  return at - storeDataConfirmedAt(state) <= maxDataAge(bound);
}

/**
 * Returns whether the configuration and the servers may be acted on at a time, where changes must be in force within `bound`:
 * they are confirmed up to shortly before, or the store doesn't answer this daemon.
 */
export function isStoreDataUsable(state: RouterState, at: Milliseconds, bound: Milliseconds): boolean {
  return (
    isStoreDataConfirmed(state, at, bound) || STORE_DATA_FEEDS.every((feed) => isUnavailable(state, feed, at))
  );
}

/**
 * Returns whether the list of evacuated zones may be acted on at a time. After a start or a suspension it is used before its first
 * confirmation, which comes later than that of the servers: callers are waiting, and few zones are ever evacuated.
 */
export function areEvacuationsUsable(state: RouterState, at: Milliseconds): boolean {
  const { evacuation } = state.bounds;
  const confirmedAt = evacuationsConfirmedAt(state);
  return (
    evacuation === null ||
    confirmedAt === Number.NEGATIVE_INFINITY ||
    at - confirmedAt <= maxDataAge(evacuation) ||
    isUnavailable(state, 'evacuations', at)
  );
}

function placeInTree({ leadership, tree, election }: RouterState): TreePlace {
  if (leadership !== null) {
    return 'leader';
  }
  return hasRelayParent(tree, election.leader?.address) ? 'belowRelay' : 'childOfLeader';
}

/** Asks the store to confirm data that has been unconfirmed for long. */
export function tickStoreConfirmation(context: RouterContext): void {
  const { state, now } = context;
  const { bounds } = state;
  if (state.configuration === null || state.serversRevision === null) {
    // The data is listed at the start.
    return;
  }
  const place = placeInTree(state);
  const storeDataBound = Math.min(bounds.configuration, bounds.drain);
  const dataConfirmedAt = storeDataConfirmedAt(state);
  const responseTime = Math.max(...STORE_DATA_FEEDS.map((feed) => state.feeds[feed].responseTime));
  if (now - dataConfirmedAt > confirmationAge(storeDataBound, place, responseTime)) {
    STORE_DATA_FEEDS.forEach((feed) => askForConfirmation(context, feed, dataConfirmedAt));
  }
  const { evacuation } = bounds;
  const zonesConfirmedAt = evacuationsConfirmedAt(state);
  if (
    evacuation !== null &&
    now - zonesConfirmedAt > confirmationAge(evacuation, place, state.feeds.evacuations.responseTime)
  ) {
    EVACUATION_FEEDS.forEach((feed) => askForConfirmation(context, feed, zonesConfirmedAt));
  }
}

function askForConfirmation(context: RouterContext, feed: FeedName, confirmedAt: Milliseconds): void {
  const { state, now } = context;
  const health = state.feeds[feed];
  const isFirst = health.confirmationAskedAt === Number.NEGATIVE_INFINITY;
  if (isFirst && confirmedAt === Number.NEGATIVE_INFINITY) {
    health.confirmationAskedAt = now + FIRST_CONFIRMATION_TIMEOUT - CONFIRMATION_INTERVAL;
  }
  const interval = health.failures > 1 ? FAILED_CONFIRMATION_INTERVAL : CONFIRMATION_INTERVAL;
  if (now - health.confirmationAskedAt < interval) {
    return;
  }
  health.confirmationAskedAt = now;
  state.counters.confirmations_asked += 1;
  context.emit({ kind: 'confirmFeed', feed, revision: knownRevision(state, feed) });
}

/** Returns the revision of the store up to which the data of a feed is known, or null. */
function knownRevision(state: RouterState, feed: FeedName): number | null {
  switch (feed) {
    case 'configuration':
      return state.configurationRevision;
    case 'servers':
      return state.serversRevision;
    case 'evacuations':
      return state.evacuations.revision === 0 ? null : state.evacuations.revision;
  }
}
