/**
 * Attributes server crashes to requests: counts, over all daemons, the servers that crashed under a request, and stops
 * sending the request to servers once there are enough. Every request that was running on a crashed server is suspected;
 * a success on another server exonerates it. docs/design/quarantine.md explains why no innocent request stays in
 * quarantine, and the alternatives considered.
 */
import type { CrashNews, UpdateSource } from '../peers/messages.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { fingerprintHead, type RequestFingerprint } from '../model/request-fingerprint.js';
import type { ActiveRequest } from '../request/active-request.js';
import { cancelAttempt } from '../request/request-dispatch.js';
import { endWithOwnAnswer } from '../request/request-ending.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { type CrashRecord, emptyCrashRecord } from './crash-record.js';
import { LOST_COPIES_TO_HOLD_BACK } from './lost-copies.js';
import type { SuspectedCrash } from './crash-detection-state.js';

/**
 * A request is quarantined after it has been suspected for this share of the time in which connected daemons have to
 * agree. Servers that are lost at the same moment have the same hot request in flight; while it is only suspected,
 * another server answers it, which exonerates it. The remaining time is for detecting that a server has crashed (0.2 s)
 * and for propagation through the tree when a relay has just been lost (1.2 s).
 */
const CONFIRMATION_SHARE = 0.4;
/** Records are kept for minutes, so checking them for expiry once per second is enough. */
const EXPIRY_INTERVAL: Milliseconds = 1_000;
const FIRST_SERVER_ERROR_STATUS = 500;
/** Maximum number of fingerprints in one log line. */
const MAX_LOGGED_FINGERPRINTS = 8;
/** Reason given to the caller of a request that is held back. */
const HELD_BACK_REASON = 'copies of this request were lost with a server: one at a time is sent';
/** By then an answer, or the crash of another server, may have decided whether the request is at fault. */
const HELD_BACK_RETRY_AFTER: Milliseconds = 1_000;
/** Reason given to the caller of a quarantined request. */
export const QUARANTINE_REASON = 'servers have ended under this request: it is not sent to any other';

/** Returns how long a request is suspected before it is quarantined or held back. */
export function confirmationTime({ bounds }: RouterState): Milliseconds {
  return bounds.contact * CONFIRMATION_SHARE;
}

/** The origin of a record: another daemon, the store, or this daemon's own observation. */
type RecordSource = UpdateSource | 'observed';

/** Sends changed records to the children, and to the parent unless they came from there. */
function broadcastRecords(
  context: RouterContext,
  records: readonly CrashRecord[],
  source: RecordSource,
): void {
  if (records.length === 0) {
    return;
  }
  const message: CrashNews = { kind: 'crashNews', records: [...records] };
  context.emit({ kind: 'sendToChildren', link: null, message });
  if (source !== 'parent') {
    context.emit({ kind: 'sendToParent', message });
  }
}

/** Records that a server crashed: every request that it was running for this daemon is suspected. */
export function recordServerCrash(
  context: RouterContext,
  { server, requests, brokenAt }: SuspectedCrash,
  evidence: string,
): void {
  const { id, service, address } = server;
  const values = [...requests].map(({ value }) => value);
  const fingerprints = [...new Set(values)];
  context.state.counters.server_ends += 1;
  context.log('server_crashed', {
    server: id,
    service,
    address,
    evidence,
    requests: fingerprints.length,
    fingerprints: fingerprints.slice(0, MAX_LOGGED_FINGERPRINTS),
  });
  const age = context.now - brokenAt;
  const { daemon, life } = context.state.identity;
  const copiesOf = (fingerprint: string): string[] =>
    values
      .filter((value) => value === fingerprint)
      .slice(0, LOST_COPIES_TO_HOLD_BACK)
      .map((_, index) => `${daemon}/${life}/${index}`);
  mergeCrashRecords(
    context,
    fingerprints.map((fingerprint) => ({
      ...emptyCrashRecord(fingerprint),
      ended: [{ server: id, age, copies: copiesOf(fingerprint) }],
    })),
    'observed',
  );
}

/** Exonerates a server that has answered a request, if the request was sent after this daemon learned of the crash. */
export function recordServerAlive(context: RouterContext, server: ServerId, sentAt: Milliseconds): void {
  const { crashTable } = context.state;
  if (!crashTable.isEmpty) {
    broadcastRecords(context, crashTable.exonerateServer(server, sentAt, context.now), 'observed');
  }
}

/**
 * Exonerates a request that a server has answered. A server error doesn't count, because the request may have failed
 * before it reached the point at which servers crash.
 */
export function recordRequestAnswered(context: RouterContext, request: ActiveRequest, status: number): void {
  if (!context.state.crashTable.isEmpty && status < FIRST_SERVER_ERROR_STATUS) {
    exonerateRequest(context, request.fingerprint, 'a server answered it');
  }
}

/** Ends the quarantine of a request at an operator's command. */
export function liftQuarantine(context: RouterContext, fingerprint: string): void {
  exonerateRequest(
    context,
    { head: fingerprintHead(fingerprint), value: fingerprint },
    'an operator lifted it',
  );
}

function exonerateRequest(context: RouterContext, fingerprint: RequestFingerprint, reason: string): void {
  const { crashTable } = context.state;
  const wasQuarantined = crashTable.isQuarantined(fingerprint);
  const record = crashTable.exonerateRequest(fingerprint, context.now);
  if (record === null) {
    return;
  }
  if (wasQuarantined) {
    context.log('quarantine_ended', { fingerprint: fingerprint.value, reason });
  }
  broadcastRecords(context, [record], 'observed');
}

/** Merges records from this daemon's own observation, another daemon or the store, and begins new quarantines. */
export function mergeCrashRecords(
  context: RouterContext,
  records: readonly CrashRecord[],
  source: RecordSource,
): void {
  const { crashTable } = context.state;
  const quarantinedBefore = new Set(
    records
      .map(({ fingerprint }) => fingerprint)
      .filter((value) => crashTable.isFingerprintQuarantined(value)),
  );
  const changed = records
    .map((record) => crashTable.merge(record, context.now))
    .filter((record) => record !== null);
  broadcastRecords(context, changed, source);
  changed
    .filter(({ fingerprint }) => !quarantinedBefore.has(fingerprint))
    .filter(({ quarantined }) => quarantined)
    .forEach((record) => beginQuarantine(context, record));
}

/** Handles another daemon's message about crashed servers. */
export function receiveCrashUpdate(
  context: RouterContext,
  { records }: CrashNews,
  source: UpdateSource,
): void {
  mergeCrashRecords(context, records, source);
}

/** Returns all crash records, for a daemon that has just connected or a new parent; null when there are none. */
export function createCrashSnapshot({ state, now }: RouterContext): CrashNews | null {
  return state.crashTable.isEmpty ? null : { kind: 'crashNews', records: state.crashTable.records(now) };
}

/** Ends all copies of a quarantined request at once: those held, those waiting for a retry and those in flight. */
function beginQuarantine(context: RouterContext, { fingerprint, ended }: CrashRecord): void {
  const { state } = context;
  state.counters.quarantines += 1;
  context.log('quarantine_begun', { fingerprint, servers: ended.map(({ server }) => server) }, 'warn');
  for (const request of [...state.requests.values()]) {
    if (state.crashTable.isQuarantined(request.fingerprint)) {
      refuseQuarantined(context, request);
    }
  }
}

/**
 * Whether a new request is refused because it is quarantined. Only the leader lets one through now and then, when the
 * request is repeated very often, until one more server has crashed under it.
 */
export function isRefusedByQuarantine(context: RouterContext, request: ActiveRequest): boolean {
  const { crashTable, leadership } = context.state;
  if (!crashTable.isQuarantined(request.fingerprint)) {
    return false;
  }
  if (leadership === null || !crashTable.tryAcquireRetest(request.fingerprint, context.now)) {
    return true;
  }
  context.log('quarantine_retested', { fingerprint: request.fingerprint.value });
  return false;
}

/** Records a failed retest when the server's side closed the connection of a quarantined request. */
export function recordFailedRetest(context: RouterContext, { fingerprint }: ActiveRequest): void {
  const record = context.state.crashTable.recordFailedRetest(fingerprint, context.now);
  if (record !== null) {
    broadcastRecords(context, [record], 'observed');
  }
}

/**
 * Whether a new request is held back: several copies of it were lost with crashed servers, though with too few servers for
 * a quarantine. The leader sends one copy at a time; an answer to it ends this state, and more crashes begin the quarantine.
 */
export function isHeldBack(context: RouterContext, { fingerprint }: ActiveRequest): boolean {
  const { state, now } = context;
  const { crashTable, leadership } = state;
  if (crashTable.isEmpty || !crashTable.isHeldBack(fingerprint, confirmationTime(state), now)) {
    return false;
  }
  return leadership === null || !crashTable.tryAcquireTrial(fingerprint, now);
}

/** Refuses a request that is held back. It has not run, so the caller may repeat it. */
export function refuseHeldBack(context: RouterContext, request: ActiveRequest): void {
  context.state.counters.requests_held_back += 1;
  endWithOwnAnswer(context, request, HELD_BACK_REASON, HELD_BACK_RETRY_AFTER);
}

/** Ends a quarantined request at once, without a time after which to retry: as refused, unless an attempt may have run. */
export function refuseQuarantined(context: RouterContext, request: ActiveRequest): void {
  cancelAttempt(context, request, 'cancelled, the request is in quarantine');
  context.state.counters.requests_quarantined += 1;
  endWithOwnAnswer(context, request, QUARANTINE_REASON, null);
}

/** Quarantines the requests that have been suspected for the confirmation time, and removes expired records. */
export function tickQuarantine(context: RouterContext): void {
  const { state, now } = context;
  const { crashTable } = state;
  if (crashTable.isEmpty) {
    return;
  }
  const confirmed = crashTable.confirmSuspicions(confirmationTime(state), now);
  broadcastRecords(context, confirmed, 'observed');
  confirmed.forEach((record) => beginQuarantine(context, record));
  if (now >= state.nextCrashExpiryAt) {
    state.nextCrashExpiryAt = now + EXPIRY_INTERVAL;
    crashTable.removeExpired(now);
  }
}
