/**
 * Crash attribution: counts the servers that ended under a request over all daemons, and keeps a request from servers once there are
 * enough. What ran at a server that ended shares the blame; a success elsewhere clears it. docs/design/quarantine.md
 * tells why nobody innocent stays in quarantine, and the ways weighed.
 */
import type { CrashNews, UpdateSource } from '../peers/messages.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { headOf, type RequestFingerprint } from '../model/request-fingerprint.js';
import type { ActiveRequest } from '../request/active-request.js';
import { cancelAttempt, endWithOwnAnswer } from '../request/request-dispatch.js';
import type { RouterContext } from '../router-context.js';
import type { CrashRecord } from './crash-record.js';
import { COPIES_FOR_HOLD } from './lost-copies.js';
import type { BrokenConnection } from './broken-connections.js';

/**
 * Part of the time in which daemons that are in touch have to agree, for which a request is suspected before it is kept from servers.
 * Servers that are lost at the same moment have the same hot request in flight; meanwhile it is answered elsewhere and cleared. The
 * rest is for finding out that a server has ended (0.2 s) and for the way through the tree when a relay was just lost (1.2 s).
 */
const CONFIRMATION_PART = 0.4;
/** Records expire within minutes: a look in a second is enough. */
const EXPIRY_INTERVAL: Milliseconds = 1_000;
const FIRST_SERVER_FAILURE = 500;
/** Fingerprints that one line of the log names. */
const MOST_LOGGED = 8;
/** What a caller is told while a request is sent one at a time. */
const HOLD_REASON = 'copies of this request were lost with a server: one at a time is sent';
/** By then an answer, or another end, may have decided. */
const HOLD_RETRY_AFTER: Milliseconds = 1_000;
/** What a caller is told. */
export const QUARANTINE_REASON = 'servers have ended under this request: it is not sent to any other';

/** Where records come from: this daemon's own observations among them. */
type RecordSource = UpdateSource | 'observed';

/** Records that changed here go to the neighbours that don't know of it. */
function spread(context: RouterContext, records: readonly CrashRecord[], source: RecordSource): void {
  if (records.length === 0) {
    return;
  }
  const message: CrashNews = { kind: 'crashNews', records: [...records] };
  context.emit({ kind: 'sendToChildren', link: null, message });
  if (source !== 'parent') {
    context.emit({ kind: 'sendToParent', message });
  }
}

/** A server has ended; all that it was running for this daemon is suspected. */
export function noteCrash(
  context: RouterContext,
  { server, requests, brokenAt }: BrokenConnection,
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
    fingerprints: fingerprints.slice(0, MOST_LOGGED),
  });
  const age = context.now - brokenAt;
  const { daemon, life } = context.state.identity;
  const copiesOf = (fingerprint: string): string[] =>
    values
      .filter((value) => value === fingerprint)
      .slice(0, COPIES_FOR_HOLD)
      .map((_, index) => `${daemon}/${life}/${index}`);
  const rest = { exonerated: [], quarantined: false, retested: false };
  takeRecords(
    context,
    fingerprints.map((fingerprint) => ({
      fingerprint,
      ended: [{ server: id, age, copies: copiesOf(fingerprint) }],
      ...rest,
    })),
    'observed',
  );
}

/** A server answered a request. */
export function noteServerAlive(context: RouterContext, server: ServerId, sentAt: Milliseconds): void {
  const { crashes } = context.state;
  if (!crashes.isEmpty) {
    spread(context, crashes.noteAlive(server, sentAt, context.now), 'observed');
  }
}

/** A server answered a request. A failure may have come before it got to the point at which servers end. */
export function noteRequestAnswered(context: RouterContext, request: ActiveRequest, status: number): void {
  if (!context.state.crashes.isEmpty && status < FIRST_SERVER_FAILURE) {
    clear(context, request.fingerprint, 'a server answered it');
  }
}

/** An operator says that a request may be sent to servers again. */
export function liftQuarantine(context: RouterContext, fingerprint: string): void {
  clear(context, { head: headOf(fingerprint), value: fingerprint }, 'an operator lifted it');
}

function clear(context: RouterContext, fingerprint: RequestFingerprint, reason: string): void {
  const { crashes } = context.state;
  const wasQuarantined = crashes.isQuarantined(fingerprint);
  const record = crashes.clear(fingerprint, context.now);
  if (record === null) {
    return;
  }
  if (wasQuarantined) {
    context.log('quarantine_ended', { fingerprint: fingerprint.value, reason });
  }
  spread(context, [record], 'observed');
}

/** Takes in what this daemon has seen, or what another one or the store tells. */
export function takeRecords(
  context: RouterContext,
  records: readonly CrashRecord[],
  source: RecordSource,
): void {
  const { crashes } = context.state;
  const before = new Set(
    records.map(({ fingerprint }) => fingerprint).filter((value) => crashes.holdsBack(value)),
  );
  const changed = records
    .map((record) => crashes.merge(record, context.now))
    .filter((record) => record !== null);
  spread(context, changed, source);
  changed
    .filter(({ fingerprint }) => !before.has(fingerprint))
    .filter(({ quarantined }) => quarantined)
    .forEach((record) => beginQuarantine(context, record));
}

/** Another daemon told of servers that ended. */
export function receiveCrashNews(context: RouterContext, { records }: CrashNews, source: UpdateSource): void {
  takeRecords(context, records, source);
}

/** Tells a daemon that has just connected, or a parent that was just found, all there is. */
export function describeCrashes({ state, now }: RouterContext): CrashNews | null {
  return state.crashes.isEmpty ? null : { kind: 'crashNews', records: state.crashes.records(now) };
}

/** The copies of a request that are held, wait for a retry, or are under way end at once. */
function beginQuarantine(context: RouterContext, { fingerprint, ended }: CrashRecord): void {
  const { state } = context;
  state.counters.quarantines += 1;
  context.log('quarantine_begun', { fingerprint, servers: ended.map(({ server }) => server) }, 'warn');
  for (const request of [...state.requests.values()]) {
    if (state.crashes.isQuarantined(request.fingerprint)) {
      refuseQuarantined(context, request);
    }
  }
}

/**
 * Whether a new request is kept from servers. The leader, and no other daemon, lets one through now and then when it comes very often,
 * until that has ended one more server.
 */
export function isKeptBack(context: RouterContext, request: ActiveRequest): boolean {
  const { crashes, leadership } = context.state;
  if (!crashes.isQuarantined(request.fingerprint)) {
    return false;
  }
  if (leadership === null || !crashes.isDueForRetest(request.fingerprint, context.now)) {
    return true;
  }
  context.log('quarantine_retested', { fingerprint: request.fingerprint.value });
  return false;
}

/** The server's side ended the connection of a request: was that one in quarantine, sent once more? */
export function noteRetestLost(context: RouterContext, { fingerprint }: ActiveRequest): void {
  const record = context.state.crashes.failRetest(fingerprint, context.now);
  if (record !== null) {
    spread(context, [record], 'observed');
  }
}

/**
 * Whether a new request waits for others like it: several copies of it were lost with a server, though not with enough servers for a
 * quarantine. The leader sends one at a time; an answer ends this, and more ends begin the quarantine.
 */
export function isHeldBack(context: RouterContext, { fingerprint }: ActiveRequest): boolean {
  const { state, now } = context;
  const { crashes, leadership, bounds } = state;
  if (crashes.isEmpty || !crashes.isHeldBack(fingerprint, bounds.contact * CONFIRMATION_PART, now)) {
    return false;
  }
  return leadership === null || !crashes.isDueForTrial(fingerprint, now);
}

/** Refuses a request that is held back: it has not run, and may come again. */
export function refuseHeldBack(context: RouterContext, request: ActiveRequest): void {
  context.state.counters.requests_held_back += 1;
  endWithOwnAnswer(context, request, HOLD_REASON, HOLD_RETRY_AFTER);
}

/** Ends a request in quarantine: at once, and without a time to come back. */
export function refuseQuarantined(context: RouterContext, request: ActiveRequest): void {
  request.mayHaveRun ||= request.server !== null;
  cancelAttempt(context, request, 'cancelled, the request is in quarantine');
  context.state.counters.requests_quarantined += 1;
  endWithOwnAnswer(context, request, QUARANTINE_REASON, null);
}

/** Puts requests into quarantine whose suspicion has stood for long enough. */
export function tickQuarantine(context: RouterContext): void {
  const { state, now } = context;
  const { crashes, bounds } = state;
  if (crashes.isEmpty) {
    return;
  }
  const confirmed = crashes.confirmSuspicions(bounds.contact * CONFIRMATION_PART, now);
  spread(context, confirmed, 'observed');
  confirmed.forEach((record) => beginQuarantine(context, record));
  if (now >= state.nextCrashExpiryAt) {
    state.nextCrashExpiryAt = now + EXPIRY_INTERVAL;
    crashes.expire(now);
  }
}
