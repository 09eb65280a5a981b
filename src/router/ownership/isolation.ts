/**
 * Detects whether this daemon is cut off from all updates of ownership while its view has proved stale. Other
 * daemons then serve its callers better, so it reports itself not ready until it receives updates again.
 */
import type { Key, Milliseconds, ServiceName } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { LEADERSHIP_VALIDITY } from './ownership-timing.js';

/**
 * A daemon counts as cut off when it has received neither a heartbeat of the leader nor an answer of the
 * store for this long.
 */
const ISOLATION_TIMEOUT: Milliseconds = 1_500;
/** Rejections by servers that do not hold the requested key, after which the view counts as stale. */
const MISDIRECTED_REQUEST_LIMIT = 3;

function isCutOff(state: RouterState, now: Milliseconds): boolean {
  if (state.leadership !== null) {
    return now - state.leadership.confirmedAt > LEADERSHIP_VALIDITY;
  }
  const heardAt = Math.max(state.election.lastHeartbeatAt, state.isolation.storeAnsweredAt);
  return state.election.leader !== null && now - heardAt > ISOLATION_TIMEOUT;
}

/** Records that a server rejected a request because it does not hold a key that the view assigns to it. */
export function recordMisdirectedRequest(context: RouterContext, service: ServiceName, key: Key): void {
  const { state, now } = context;
  if (isCutOff(state, now)) {
    state.isolation.misdirectedRequests += 1;
    return;
  }
  const unit = state.ownershipView.unitOf(service, key);
  if (unit !== undefined) {
    state.recentlyRejectedUnits.add(unit.fence, now);
  }
}

/** Updates whether the view is known to be stale. */
export function tickIsolation(context: RouterContext): void {
  const { state, now } = context;
  const { isolation } = state;
  if (!isCutOff(state, now)) {
    isolation.misdirectedRequests = 0;
  }
  const isStale = isolation.misdirectedRequests >= MISDIRECTED_REQUEST_LIMIT;
  if (isStale !== isolation.isViewStale) {
    isolation.isViewStale = isStale;
    context.log(isStale ? 'view_is_old' : 'view_is_fresh', {
      term: state.ownershipView.term,
      sequence: state.ownershipView.sequence,
    });
  }
}
