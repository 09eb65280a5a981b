/**
 * Whether this daemon is cut off from all news of ownership, and what it believes has been shown to be old. Its callers
 * are better served by other daemons then, so it calls itself not ready until it hears again.
 */
import type { Key, Milliseconds, ServiceName } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { CONFIRMATION_VALIDITY } from './ownership-timing.js';

/** Without a word from the leader and the store for this long, a daemon counts as cut off. */
const ISOLATION_PATIENCE: Milliseconds = 1_500;
/** Servers that turned requests for their keys away, after which the view counts as old. */
const TURNED_AWAY_LIMIT = 3;

function isCutOff(state: RouterState, now: Milliseconds): boolean {
  if (state.leadership !== null) {
    return now - state.leadership.confirmedAt > CONFIRMATION_VALIDITY;
  }
  const heardAt = Math.max(state.election.lastHeartbeatAt, state.isolation.storeAnsweredAt);
  return state.election.leader !== null && now - heardAt > ISOLATION_PATIENCE;
}

/** An owner says that it does not hold a key that the view says it does. */
export function noteTurnedAway(context: RouterContext, service: ServiceName, key: Key): void {
  const { state, now } = context;
  if (isCutOff(state, now)) {
    state.isolation.turnedAway += 1;
    return;
  }
  const unit = state.view.unitOf(service, key);
  if (unit !== undefined) {
    state.doubtedUnits.add(unit.fence, now);
  }
}

/** Looks whether news has come again, or the view is known to be old. */
export function tickIsolation(context: RouterContext): void {
  const { state, now } = context;
  const { isolation } = state;
  if (!isCutOff(state, now)) {
    isolation.turnedAway = 0;
  }
  const viewIsOld = isolation.turnedAway >= TURNED_AWAY_LIMIT;
  if (viewIsOld !== isolation.viewIsOld) {
    isolation.viewIsOld = viewIsOld;
    context.log(viewIsOld ? 'view_is_old' : 'view_is_fresh', {
      term: state.view.term,
      sequence: state.view.sequence,
    });
  }
}
