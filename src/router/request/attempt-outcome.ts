/** Applies the result of an attempt to its request and its server. */
import type { AttemptEndedEvent, AttemptResult, LoadReading } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import { recordMisdirectedRequest } from '../ownership/isolation.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { CRASHES_FOR_QUARANTINE } from '../quarantine/crash-entry.js';
import { recordRequestAnswered, recordFailedRetest } from '../quarantine/quarantine.js';
import { recordAttemptResult, recordConnectionClosed } from '../quarantine/crash-detection.js';
import { recordConnectionFailure, recordServerHeard } from '../reachability/path-checks.js';
import { reportOverload } from '../tree/reports.js';
import { receiveProxyResult } from '../proxying/proxied-attempts.js';
import { type ActiveRequest, isHeld } from './active-request.js';
import {
  avoidAfterFailure,
  dispatchRequest,
  endAttempt,
  endWithOwnAnswer,
  recordRequestEnd,
  recordAttemptOutcome,
} from './request-dispatch.js';
import type { ReportedLoad } from './server-load.js';
import { DEFAULT_RETRY_AFTER, OVERLOAD_RETRY_AFTER, HELD_RETRY_INTERVAL } from './request-timing.js';

/** Delay before a request for a key is sent to its owner again after a lost attempt: sent at once, it would fail again. */
const OWNER_RETRY_DELAY: Milliseconds = 60;
/** A connection that is reset within this time, before any answer, was most likely shed by a server at capacity. */
const MAX_SHED_TIME: Milliseconds = 25;
/**
 * Number of servers that may have crashed under a request after which it is not sent again for the same call of the caller: a third server
 * might crash, too, and other requests that were at two of these servers would soon be as suspect.
 */
const MAX_POSSIBLE_CRASHES = 2;
/** A server that has answered within this time counts as alive. */
const MAX_ALIVE_ANSWER_AGE: Milliseconds = 400;
/** Time for which a server at capacity gets no request. */
const OVERLOAD_AVOIDANCE_TIME: Milliseconds = 40;
/** Maximum number of logged characters of an unreadable value. */
const MAX_LOGGED_CHARACTERS = 60;

/** Processes the end of an attempt; ignores an attempt that isn't the request's current one. */
export function receiveAttemptEnded(context: RouterContext, event: AttemptEndedEvent): void {
  const request = context.state.requests.get(event.requestId);
  if (request?.attemptNumber !== event.attempt || isHeld(request)) {
    return;
  }
  if (request.server === null) {
    receiveProxyResult(context, request, event.result);
    return;
  }
  recordAttemptOutcome(context, request, describeResult(event.result));
  recordAttemptResult(context, request.server, request.attemptStartedAt, event.result);
  const known = endAttempt(context, request);
  recordContact(context, request, known, event.result);
  processResult(context, request, known, event.result);
}

/** Records whether the server has responded, or could not be reached. */
function recordContact(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  { kind }: AttemptResult,
): void {
  if (known === undefined) {
    return;
  }
  if (kind === 'answered' || kind === 'rejected') {
    recordServerHeard(context, known);
  } else if (kind === 'notSent') {
    recordConnectionFailure(context, known, request.attemptStartedAt);
  }
}

function describeResult(result: AttemptResult): string {
  switch (result.kind) {
    case 'answered':
      return `answered ${result.status}`;
    case 'rejected':
      return `rejected ${result.status}`;
    case 'withheld':
      return 'withheld';
    default:
      return `${result.kind}: ${result.reason}`;
  }
}

function processResult(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: AttemptResult,
): void {
  const { state, now } = context;
  switch (result.kind) {
    case 'answered':
      recordAnswer(request, known, recordLoadReport(context, known, result.load), now);
      state.requests.delete(request.id);
      state.counters.answered += 1;
      recordRequestAnswered(context, request, result.status);
      recordRequestEnd(context, request, 'answered', result.status, '');
      return;
    case 'rejected':
      state.counters.attempts_rejected += 1;
      processRejection(context, request, known, result);
      return;
    case 'notSent':
    case 'withdrawn':
      state.counters.attempts_not_sent += 1;
      request.attempts -= 1;
      if (request.usedPermit) {
        known?.permits.returnUnused(now);
      }
      if (known?.backOff.left(now) === 0) {
        avoidAfterFailure(known, now);
      }
      dispatchRequest(context, request);
      return;
    case 'withheld':
      state.counters.writes_withheld += 1;
      processWithheldAttempt(context, request, known);
      return;
    case 'refusedByProxy':
    case 'failedAtProxy':
      // Servers do not end an attempt so.
      return;
    case 'lost':
      state.counters.attempts_lost += 1;
      processLostAttempt(context, request, known, result);
      return;
  }
}

/** Dispatches a request again whose attempt was not written. The server is not at fault and may be chosen again. */
function processWithheldAttempt(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
): void {
  request.attempts -= 1;
  if (request.key === null) {
    request.triedServers.pop();
  }
  if (request.usedPermit) {
    known?.permits.returnUnused(context.now);
  }
  dispatchRequest(context, request);
}

/** Records the load that a server reported. An unreadable report is counted, and logged once for each service. */
function recordLoadReport(
  context: RouterContext,
  known: KnownServer | undefined,
  reading: LoadReading,
): ReportedLoad | null {
  if (known === undefined || reading === null) {
    return null;
  }
  if (!('unreadable' in reading)) {
    known.load.report(reading, context.now);
    return reading;
  }
  const { counters, serviceProfiles } = context.state;
  const { id, service } = known.server;
  const profile = serviceProfiles.get(service);
  counters.malformed_load_reports += 1;
  if (profile?.loggedUnreadableLoad === false) {
    profile.loggedUnreadableLoad = true;
    const found = reading.unreadable.slice(0, MAX_LOGGED_CHARACTERS);
    context.log('malformed_load_report', { server: id, service, found }, 'warn');
  }
  return null;
}

function recordAnswer(
  request: ActiveRequest,
  known: KnownServer | undefined,
  load: ReportedLoad | null,
  now: Milliseconds,
): void {
  const duration = now - request.attemptStartedAt;
  known?.backOff.recordAnswer(request.attemptStartedAt);
  known?.load.answered(duration, now, mayHaveWaited(request, load), request.route);
  known?.load.window.answered(duration, request.route.latencyObjective, known.load.inFlight.size, now);
}

/** Returns whether a request may have waited at its server for a slot. */
function mayHaveWaited(request: ActiveRequest, load: ReportedLoad | null): boolean {
  return !request.sentToFreeSlot || (load !== null && load.waiting > 0);
}

function processRejection(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: Extract<AttemptResult, { kind: 'rejected' }>,
): void {
  const { now } = context;
  const reading = recordLoadReport(context, known, result.load);
  if (reading !== null && !result.misdirected) {
    known?.load.recordRejection(reading, now);
  }
  if (known !== undefined && known.backOff.left(now) > 0) {
    // The server's back-off decides: the request goes to another server, or is refused with the remaining time.
    dispatchRequest(context, request);
    return;
  }
  if (request.key !== null && !result.misdirected) {
    reportOverload(context);
  }
  if (request.key !== null && known !== undefined && reading !== null && isAtCapacity(reading)) {
    known.load.window.shed(request.attemptStartedAt, now);
    const queueTime = (reading.waiting / reading.slots) * known.load.serviceTime;
    const retryAfter = Math.min(queueTime, request.route.latencyObjective) / 2;
    endWithOwnAnswer(
      context,
      request,
      `the owner ${known.server.id} is full`,
      Math.max(OVERLOAD_RETRY_AFTER, retryAfter),
    );
    return;
  }
  if (known !== undefined && !result.misdirected) {
    known.load.avoidUntil = Math.max(known.load.avoidUntil, now + OVERLOAD_AVOIDANCE_TIME);
  }
  if (known !== undefined && result.misdirected && request.key === null) {
    // Another server has the address, so this incarnation has ended.
    avoidAfterFailure(known, now);
  }
  if (request.key !== null && result.misdirected) {
    // This daemon's view of ownership is older than the server's; a newer one arrives soon unless this daemon is cut off.
    recordMisdirectedRequest(context, request.service, request.key);
    request.retryAt = now + HELD_RETRY_INTERVAL;
    return;
  }
  dispatchRequest(context, request);
}

/**
 * Returns whether a server that rejected a request is at capacity by its own load report. A server with free capacity rejects only some
 * requests and may accept this one the next time: refusing at once would double the refusals of an owner that sheds half of its requests.
 */
function isAtCapacity({ waiting, slots }: ReportedLoad): boolean {
  return waiting >= slots;
}

/** Returns whether a lost request was shed: an owner that reset it at once but has just answered others is at capacity, not dead. */
function wasShed(request: ActiveRequest, known: KnownServer, now: Milliseconds): boolean {
  const wasImmediate = now - request.attemptStartedAt < MAX_SHED_TIME;
  return wasImmediate && request.key !== null && now - known.load.lastAnswerAt < MAX_ALIVE_ANSWER_AGE;
}

function recordLostAttempt(request: ActiveRequest, known: KnownServer | undefined, now: Milliseconds): void {
  if (known === undefined) {
    return;
  }
  const { load, server } = known;
  if (wasShed(request, known, now)) {
    load.window.shed(request.attemptStartedAt, now);
  } else {
    avoidAfterFailure(known, now);
  }
  if (now - request.attemptStartedAt < MAX_SHED_TIME) {
    load.recordShed(server.slots, now);
  } else {
    load.recordUnanswered(now - request.attemptStartedAt, now, !request.sentToFreeSlot, request.route);
  }
}

/** Returns whether a request must not be sent again because servers, as seen here and by other daemons, may have crashed under it. */
function mayCrashAnotherServer({ state }: RouterContext, request: ActiveRequest): boolean {
  const { possibleCrashes, fingerprint } = request;
  const recordedCrashes = state.crashTable.isEmpty ? 0 : state.crashTable.crashCount(fingerprint);
  return (
    possibleCrashes >= MAX_POSSIBLE_CRASHES ||
    (possibleCrashes > 0 && recordedCrashes + possibleCrashes >= CRASHES_FOR_QUARANTINE)
  );
}

function processLostAttempt(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: Extract<AttemptResult, { kind: 'lost' }>,
): void {
  const { now } = context;
  request.lostAttempts += 1;
  request.mayHaveRun = true;
  recordLostAttempt(request, known, now);
  if (result.isClosedByServer) {
    recordConnectionClosed(context, request, known);
    recordFailedRetest(context, request);
    request.possibleCrashes += now - request.attemptStartedAt >= MAX_SHED_TIME ? 1 : 0;
  }
  if (result.isResponseStarted) {
    context.state.requests.delete(request.id);
    context.state.counters.failed += 1;
    recordRequestEnd(context, request, 'broken_off', 0, result.reason);
    return;
  }
  if (result.isClosedByServer && mayCrashAnotherServer(context, request)) {
    endWithOwnAnswer(context, request, 'servers ended their connections under it', null);
    return;
  }
  if (request.route.repeatable && request.key !== null) {
    request.retryAt = now + OWNER_RETRY_DELAY;
    return;
  }
  if (request.route.repeatable) {
    dispatchRequest(context, request);
    return;
  }
  endWithOwnAnswer(context, request, result.reason, DEFAULT_RETRY_AFTER);
}
