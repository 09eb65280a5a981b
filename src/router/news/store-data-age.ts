/**
 * The age of this daemon's copy of the store's data: the time since the moment up to which all changes that the store has
 * accepted are certainly applied here. A daemon knows that moment from its own calls to the store and from its parent, and
 * compares the age with the bounds before it acts on the data.
 *
 * Every step errs towards a greater age. A response of the store confirms the state at the time when the call was sent, and
 * a parent's statement is dated by the report of this daemon that the parent had read before. Time that a message spends in
 * links, buffers or behind a busy event loop therefore makes data older, never fresher.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { Heartbeat } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';

/** A confirmation of data that is newer by less than this is not worth a message to the children. */
const MIN_FORWARDED_GAIN: Milliseconds = 50;
/** The maximum age that is reported, also for data that was never confirmed. It fits into the 32 bits of the heartbeat's fields. */
const MAX_REPORTED_AGE: Milliseconds = 600_000;

/** Returns the time up to which the configuration and the servers are certainly complete. */
export function storeDataConfirmedAt({ feeds, tree }: RouterState): Milliseconds {
  const ownConfirmedAt = Math.min(feeds.configuration.confirmedAt, feeds.servers.confirmedAt);
  return Math.max(ownConfirmedAt, tree.parentConfirmedAt);
}

/** Returns the time up to which the evacuated zones are certainly complete. */
export function evacuationsConfirmedAt({ feeds, tree }: RouterState): Milliseconds {
  return Math.max(feeds.evacuations.confirmedAt, tree.parentEvacuationsConfirmedAt);
}

/** Returns the age of the configuration and the servers. */
export function storeDataAge({ state, now }: RouterContext): Milliseconds {
  return reportedAge(now, storeDataConfirmedAt(state));
}

/** Returns the age of the evacuated zones. */
export function evacuationsAge({ state, now }: RouterContext): Milliseconds {
  return reportedAge(now, evacuationsConfirmedAt(state));
}

function reportedAge(now: Milliseconds, confirmedAt: Milliseconds): Milliseconds {
  return Math.min(MAX_REPORTED_AGE, Math.max(0, Math.ceil(now - confirmedAt)));
}

/** Returns whether this daemon has applied every change of the servers and the configuration that its parent had applied. */
function hasAllOf({ configuration, serversRevision }: RouterState, heartbeat: Heartbeat): boolean {
  const { configurationVersion, serversPosition } = heartbeat;
  return (configuration?.version ?? 0) >= configurationVersion && (serversRevision ?? 0) >= serversPosition;
}

/**
 * Records what a heartbeat confirms. The parent built it `reportHeld` after it had read a report that this daemon had sent at
 * `reportSentAt`, so not before the sum of the two. Returns whether the children should be told at once.
 */
export function recordParentConfirmation(context: RouterContext, heartbeat: Heartbeat): boolean {
  const { state } = context;
  const { tree, resumedAt } = state;
  const { reportSentAt, reportHeld, newsAge, evacuationsAge: ageOfEvacuations, evacuations } = heartbeat;
  if (reportSentAt <= 0 || reportSentAt <= resumedAt) {
    return false;
  }
  const builtAt = reportSentAt + reportHeld;
  const before = tree.parentConfirmedAt;
  if (state.configuration?.version === heartbeat.configurationVersion) {
    // The same configuration is still the newest one at a later revision.
    state.configurationRevision = Math.max(state.configurationRevision, heartbeat.configurationRevision);
  }
  if (newsAge < MAX_REPORTED_AGE && hasAllOf(state, heartbeat)) {
    tree.parentConfirmedAt = Math.max(before, builtAt - newsAge);
  }
  if (evacuations !== null && ageOfEvacuations < MAX_REPORTED_AGE) {
    tree.parentEvacuationsConfirmedAt = Math.max(
      tree.parentEvacuationsConfirmedAt,
      builtAt - ageOfEvacuations,
    );
  }
  return tree.parentConfirmedAt - before >= MIN_FORWARDED_GAIN;
}

/** Forgets all confirmations, because the clock may not have counted a suspension. */
export function discardConfirmations({ feeds, tree }: RouterState): void {
  for (const health of Object.values(feeds)) {
    health.confirmedAt = Number.NEGATIVE_INFINITY;
  }
  tree.parentConfirmedAt = Number.NEGATIVE_INFINITY;
  tree.parentEvacuationsConfirmedAt = Number.NEGATIVE_INFINITY;
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
