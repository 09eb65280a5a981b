/**
 * A request's way through the daemon: route, server, attempts, final answer. A refusal that promises that
 * the request has not run is given only with proof: no attempt was sent, or each one was rejected.
 */
import type { RequestOutcome } from '../effects.js';
import type { AttemptEndedEvent, AttemptResult, RequestArrivedEvent } from '../events.js';
import type { Route } from '../model/configuration.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from './active-request.js';
import { findDestination, isRefusal } from './destination.js';
import { RetryBudget } from './retry-budget.js';
import type { ReportedLoad } from './server-load.js';

/** Status codes of the daemon's own answers. */
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** The log's event for each outcome. */
const LOG_EVENTS: Readonly<Record<RequestOutcome, string>> = {
  answered: 'request_answered',
  refused: 'request_refused',
  failed: 'request_failed',
  broken_off: 'request_broken_off',
  caller_left: 'caller_left',
};

/** A request is held for this part of its latency objective before it is refused. */
const HOLD_PART = 0.22;
/** A held request is tried again this often. */
const HELD_RETRY: Milliseconds = 15;
/** Attempts that never left the daemon are repeated this often. */
const MOST_ATTEMPT_NUMBERS = 6;
/** The server gives up at the deadline by itself; its answer is awaited for this long. */
const DEADLINE_SLACK: Milliseconds = 30;
/** A request is no longer sent when less than this part of its latency objective is left. */
const LEAST_TIME_PART = 0.1;
/** A server that failed gets nothing for this long, doubled with each failure up to the longest. */
const FIRST_AVOIDANCE: Milliseconds = 150;
const LONGEST_AVOIDANCE: Milliseconds = 2_000;
/** A server that is full gets nothing for this long. */
const FULL_AVOIDANCE: Milliseconds = 40;
/** When a caller should come back if nothing better is known. */
const DEFAULT_RETRY_AFTER: Milliseconds = 150;
const START_RETRY_AFTER: Milliseconds = 300;

/** Takes a request in. */
export function receiveRequest(context: RouterContext, event: RequestArrivedEvent): void {
  const { state, now } = context;
  state.counters.requests += 1;
  if (state.configuration === null || state.serversRevision === null) {
    refuseUnknown(context, event, UNAVAILABLE, 'no configuration yet', START_RETRY_AFTER);
    return;
  }
  const route = state.routes.match(event.host, event.target);
  if (route === undefined) {
    refuseUnknown(context, event, NOT_FOUND, 'no route', null);
    return;
  }
  const service = state.rotation.next(route);
  const keyed = service !== undefined && state.configuration.services.get(service)?.keyed === true;
  if (service === undefined || (keyed && event.key === null)) {
    refuseUnknown(context, event, BAD_REQUEST, 'the request has no key', null);
    return;
  }
  budgetOf(context, service).addRequest();
  const request = createRequest(event, route, service, keyed ? event.key : null, now);
  state.requests.set(request.id, request);
  if (request.key !== null) {
    sampleKey(context, request.service, request.key);
  }
  dispatch(context, request);
}

function createRequest(
  event: RequestArrivedEvent,
  route: Route,
  service: string,
  key: number | null,
  now: Milliseconds,
): ActiveRequest {
  const patience = Math.min(event.callerPatience ?? route.timeout, route.timeout);
  return {
    id: event.requestId,
    attemptId: event.attemptId,
    route,
    service,
    key,
    arrivedAt: now,
    deadlineAt: now + patience,
    holdUntil: now + Math.min(patience, route.latencyObjective) * HOLD_PART,
    attempts: 0,
    attemptNumber: 0,
    server: null,
    attemptStartedAt: 0,
    sentToFreeSlot: false,
    retryAt: 0,
    tried: [],
    mayHaveRun: false,
    notes: [],
  };
}

function sampleKey(context: RouterContext, service: string, key: number): void {
  const { keySamples } = context.state;
  const keys = keySamples.get(service);
  if (keys === undefined) {
    keySamples.set(service, [key]);
  } else {
    keys.push(key);
  }
}

function budgetOf(context: RouterContext, service: string): RetryBudget {
  const { budgets, bounds, daemons } = context.state;
  let budget = budgets.get(service);
  if (budget === undefined) {
    budget = new RetryBudget(bounds.retries, daemons);
    budgets.set(service, budget);
  }
  return budget;
}

function refuseUnknown(
  context: RouterContext,
  event: RequestArrivedEvent,
  status: number,
  reason: string,
  retryAfter: Milliseconds | null,
): void {
  context.state.counters.refused += 1;
  context.emit({ kind: 'answer', requestId: event.requestId, status, reason, retryAfter });
  const { attemptId, host, target } = event;
  const configuration = context.state.configuration?.version ?? null;
  context.log('request_refused', { attempt_id: attemptId, status, reason, host, target, configuration });
}

/** Sends a request to a server, holds it, or refuses it. */
function dispatch(context: RouterContext, request: ActiveRequest): void {
  const { state, now } = context;
  const { route } = request;
  if (request.deadlineAt - now < route.latencyObjective * LEAST_TIME_PART) {
    giveUp(context, request, 'too little time is left', DEFAULT_RETRY_AFTER);
    return;
  }
  if (request.attempts >= route.maxAttempts || request.attemptNumber >= MOST_ATTEMPT_NUMBERS) {
    giveUp(context, request, 'no attempt is left', DEFAULT_RETRY_AFTER);
    return;
  }
  const destination = findDestination(context, request);
  if (isRefusal(destination)) {
    if (destination.hold && now + HELD_RETRY <= request.holdUntil) {
      request.retryAt = now + HELD_RETRY;
      return;
    }
    giveUp(context, request, destination.reason, destination.retryAfter);
    return;
  }
  if (request.attempts > 0 && !budgetOf(context, request.service).take()) {
    state.counters.retries_over_budget += 1;
    giveUp(context, request, 'the retry budget is spent', DEFAULT_RETRY_AFTER);
    return;
  }
  forward(context, request, destination);
}

function forward(context: RouterContext, request: ActiveRequest, known: KnownServer): void {
  const { counters } = context.state;
  counters.attempts += 1;
  counters.retries += request.attempts > 0 ? 1 : 0;
  request.attempts += 1;
  request.attemptNumber += 1;
  request.server = known.server.id;
  request.attemptStartedAt = context.now;
  request.sentToFreeSlot = known.load.busy(context.now) < known.server.slots;
  if (request.key === null) {
    request.tried.push(known.server.id);
  }
  known.load.inFlight.set(request.id, context.now);
  context.emit({
    kind: 'forward',
    requestId: request.id,
    attempt: request.attemptNumber,
    server: known.server.id,
    address: known.server.address,
    timeLeft: request.deadlineAt - context.now,
    buffer: true,
  });
}

/** Ends a request with the daemon's own answer. */
function giveUp(
  context: RouterContext,
  request: ActiveRequest,
  reason: string,
  retryAfter: Milliseconds,
): void {
  const { state, now } = context;
  state.requests.delete(request.id);
  const late = now >= request.deadlineAt;
  const failed = request.mayHaveRun;
  const failureStatus = late ? GATEWAY_TIMEOUT : BAD_GATEWAY;
  const status = failed ? failureStatus : UNAVAILABLE;
  state.counters[failed ? 'failed' : 'refused'] += 1;
  const patience = failed ? null : retryAfter;
  context.emit({ kind: 'answer', requestId: request.id, status, reason, retryAfter: patience });
  logEnd(context, request, failed ? 'failed' : 'refused', status, reason);
}

function logEnd(
  context: RouterContext,
  request: ActiveRequest,
  outcome: RequestOutcome,
  status: number,
  reason: string,
): void {
  const { state, now } = context;
  context.emit({ kind: 'requestEnded', outcome, duration: now - request.arrivedAt });
  context.log(LOG_EVENTS[outcome], {
    attempt_id: request.attemptId,
    status,
    reason,
    route: request.route.name,
    service: request.service,
    key: request.key,
    configuration: state.configuration?.version ?? null,
    ownership: request.key === null ? null : `${state.view.term}.${state.view.sequence}`,
    servers: state.serversRevision,
    attempts: request.notes,
    milliseconds: Math.round(now - request.arrivedAt),
  });
}

/** Takes the request off its server. */
function endAttempt(context: RouterContext, request: ActiveRequest): KnownServer | undefined {
  const known = request.server === null ? undefined : context.state.servers.get(request.server);
  known?.load.inFlight.delete(request.id);
  request.server = null;
  return known;
}

function note(context: RouterContext, request: ActiveRequest, outcome: string): void {
  const duration = Math.round(context.now - request.attemptStartedAt);
  request.notes.push(`${request.server ?? '-'} ${outcome} after ${duration} ms`);
}

/** An attempt ended, one way or another. */
export function receiveAttemptEnded(context: RouterContext, event: AttemptEndedEvent): void {
  const request = context.state.requests.get(event.requestId);
  if (request?.attemptNumber !== event.attempt || request.server === null) {
    return;
  }
  note(context, request, describe(event.result));
  const known = endAttempt(context, request);
  conclude(context, request, known, event.result);
}

function describe(result: AttemptResult): string {
  switch (result.kind) {
    case 'answered':
      return `answered ${result.status}`;
    case 'rejected':
      return `rejected ${result.status}`;
    default:
      return `${result.kind}: ${result.reason}`;
  }
}

function conclude(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: AttemptResult,
): void {
  const { state, now } = context;
  switch (result.kind) {
    case 'answered':
      known?.load.answered(now - request.attemptStartedAt, now, hasWaited(request, result.load));
      if (result.load !== null) {
        known?.load.report(result.load, now);
      }
      state.requests.delete(request.id);
      state.counters.answered += 1;
      logEnd(context, request, 'answered', result.status, '');
      return;
    case 'rejected':
      state.counters.attempts_rejected += 1;
      concludeRejected(context, request, known, result);
      return;
    case 'notSent':
      state.counters.attempts_not_sent += 1;
      request.attempts -= 1;
      avoidAfterFailure(known, now);
      dispatch(context, request);
      return;
    case 'lost':
      state.counters.attempts_lost += 1;
      concludeLost(context, request, known, result);
      return;
  }
}

/** Whether a request may have waited at its server for others to end. */
function hasWaited(request: ActiveRequest, load: ReportedLoad | null): boolean {
  return !request.sentToFreeSlot || (load !== null && load.waiting > 0);
}

function avoidAfterFailure(known: KnownServer | undefined, now: Milliseconds): void {
  if (known !== undefined) {
    const { load } = known;
    load.avoidUntil = now + Math.min(LONGEST_AVOIDANCE, FIRST_AVOIDANCE * 2 ** load.failures);
    load.failures += 1;
  }
}

function concludeRejected(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: Extract<AttemptResult, { kind: 'rejected' }>,
): void {
  const { now } = context;
  if (known !== undefined && result.load !== null) {
    known.load.report(result.load, now);
  }
  if (known !== undefined && !result.misdirected) {
    known.load.avoidUntil = Math.max(known.load.avoidUntil, now + FULL_AVOIDANCE);
  }
  if (known !== undefined && result.misdirected && request.key === null) {
    // Another server has the address: this life has ended.
    avoidAfterFailure(known, now);
  }
  if (request.key !== null && result.misdirected) {
    // The view is older than the server's: a newer one is on its way.
    request.retryAt = now + HELD_RETRY;
    return;
  }
  dispatch(context, request);
}

function concludeLost(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: Extract<AttemptResult, { kind: 'lost' }>,
): void {
  request.mayHaveRun = true;
  avoidAfterFailure(known, context.now);
  if (result.answerBegun) {
    context.state.requests.delete(request.id);
    context.state.counters.failed += 1;
    logEnd(context, request, 'broken_off', 0, result.reason);
    return;
  }
  if (request.route.repeatable) {
    dispatch(context, request);
    return;
  }
  giveUp(context, request, result.reason, DEFAULT_RETRY_AFTER);
}

/** The caller is gone: its request is cancelled at once. */
export function receiveCallerLeft(context: RouterContext, requestId: number): void {
  const { state } = context;
  const request = state.requests.get(requestId);
  if (request === undefined) {
    return;
  }
  state.counters.callers_left += 1;
  state.requests.delete(requestId);
  cancelAttempt(context, request, 'cancelled, the caller left');
  logEnd(context, request, 'caller_left', 0, 'the caller closed its connection');
}

function cancelAttempt(context: RouterContext, request: ActiveRequest, reason: string): void {
  if (request.server === null) {
    return;
  }
  note(context, request, reason);
  context.emit({ kind: 'cancel', requestId: request.id, attempt: request.attemptNumber });
  endAttempt(context, request);
}

/** Sends held requests again, ends those whose time is up, and leaves servers that have fallen silent. */
export function tickRequests(context: RouterContext): void {
  const { state, now } = context;
  for (const request of [...state.requests.values()]) {
    if (request.server === null) {
      if (now >= request.retryAt) {
        dispatch(context, request);
      }
    } else if (now >= request.deadlineAt + DEADLINE_SLACK) {
      cancelAttempt(context, request, 'cancelled at the deadline');
      request.mayHaveRun = true;
      giveUp(context, request, 'not answered in time', DEFAULT_RETRY_AFTER);
    } else {
      leaveSilentServer(context, request);
    }
  }
}

function leaveSilentServer(context: RouterContext, request: ActiveRequest): void {
  const { state, now } = context;
  const known = request.server === null ? undefined : state.servers.get(request.server);
  if (known === undefined || !known.load.isSilent(now) || !request.route.repeatable || request.key !== null) {
    return;
  }
  const canRetry = request.attempts < request.route.maxAttempts;
  if (canRetry && request.deadlineAt - now > request.route.latencyObjective * HOLD_PART) {
    cancelAttempt(context, request, 'cancelled, the server is silent');
    request.mayHaveRun = true;
    avoidAfterFailure(known, now);
    dispatch(context, request);
  }
}
