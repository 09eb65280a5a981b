/**
 * Lifecycle of a request in the router: route, key, owner, admission, attempts, final response. The outcome
 * `not-run` is reported only with proof: no attempt was sent, or every attempt was refused before it ran.
 */
import { shardOfUnit } from '../configuration/shard-layout.js';
import type { ReducerContext } from '../context.js';
import type { Outcome } from '../effects.js';
import type { AttemptEndedEvent, AttemptResult, RequestArrivedEvent } from '../events.js';
import type { Milliseconds, ServerId } from '../identifiers.js';
import { keyOfRequest } from '../routing/key-unit.js';
import { enqueue } from './admission.js';
import { destinationOf, type Destination } from './request-destination.js';
import { serverLoadOf, RETRY_BUDGET_LIMIT, type ActiveRequest } from './request-state.js';

/** Maximum number of daemons that a request may pass. */
const MAXIMUM_HOPS = 2;
/** Header that counts the daemons a request has passed. A caller that sets it harms only its own request. */
export const HOP_HEADER = 'fennelferry-hops';
/**
 * Maximum time for which a request is held until its key has an owner; equals the longest recovery time that
 * is promised.
 */
const MAXIMUM_HOLD_TIME: Milliseconds = 2_000;
/** Maximum number of requests that one router holds at the same time. */
const MAXIMUM_HELD_REQUESTS = 4_096;
/** Delay before the first retry of a held request; it doubles with each attempt up to the maximum. */
const INITIAL_RETRY_DELAY: Milliseconds = 20;
const MAXIMUM_RETRY_DELAY: Milliseconds = 160;
/** A request is not forwarded when less than this time is left before its deadline. */
const MINIMUM_TIME_BEFORE_DEADLINE: Milliseconds = 10;
const AVOIDANCE_TIME_AFTER_FAILURE: Milliseconds = 1_000;
const DEADLINE_CHECK_INTERVAL: Milliseconds = 20;
const RETRY_BUDGET_PER_REQUEST = 0.1;

function removeRequest(context: ReducerContext, request: ActiveRequest): void {
  const { requests } = context.state;
  requests.active.delete(request.id);
  requests.held.delete(request);
}

function answer(
  context: ReducerContext,
  request: ActiveRequest,
  status: number,
  requestedOutcome: Outcome,
  title: string,
  retryAfterSeconds: number | null,
): void {
  const { counters, rules } = context.state;
  removeRequest(context, request);
  const provenNotRun = !request.mayHaveRun || !rules.reportUnknownAfterLoss;
  const outcome = requestedOutcome === 'not-run' && !provenNotRun ? 'unknown' : requestedOutcome;
  if (outcome === 'unknown') {
    counters.requests_unknown += 1;
  } else {
    counters.requests_not_run += 1;
  }
  const detail = request.lastReason;
  context.emit({ kind: 'answer', requestId: request.id, status, outcome, title, detail, retryAfterSeconds });
}

function refuseOnArrival(
  context: ReducerContext,
  requestId: number,
  status: number,
  title: string,
  detail: string,
): void {
  context.state.counters.requests_not_run += 1;
  const outcome = 'not-run';
  context.emit({ kind: 'answer', requestId, status, outcome, title, detail, retryAfterSeconds: null });
}

/** Handles a new request: validates it, then forwards, queues or holds it. */
export function receiveRequest(context: ReducerContext, event: RequestArrivedEvent): void {
  const { configuration, counters, requests } = context.state;
  counters.requests += 1;
  const hops = Number(event.headers[HOP_HEADER]) || 0;
  if (hops >= MAXIMUM_HOPS) {
    refuseOnArrival(
      context,
      event.requestId,
      508,
      'Loop detected',
      `the request has passed ${MAXIMUM_HOPS} daemons`,
    );
    return;
  }
  const match = configuration.routeMatcher.match(event.method, event.host, event.path);
  const group = match === undefined ? undefined : configuration.groups.get(match.route.group);
  if (match === undefined || group === undefined) {
    refuseOnArrival(
      context,
      event.requestId,
      404,
      'No route',
      `no route for ${event.method} ${event.host}${event.path}`,
    );
    return;
  }
  const { route, pathParameters } = match;
  const key = keyOfRequest(route, pathParameters, event) ?? null;
  if (group.kind === 'keyed' && key === null) {
    const keyLocation = `${route.key?.from ?? ''} ${route.key?.name ?? ''}`;
    refuseOnArrival(
      context,
      event.requestId,
      400,
      'Key missing',
      `route ${route.name} needs its key in ${keyLocation}`,
    );
    return;
  }
  requests.retryBudget = Math.min(RETRY_BUDGET_LIMIT, requests.retryBudget + RETRY_BUDGET_PER_REQUEST);
  const request: ActiveRequest = {
    id: event.requestId,
    route,
    group,
    key: group.kind === 'keyed' ? key : null,
    replayable: event.replayable,
    hops,
    arrivedAt: context.now,
    deadlineAt: context.now + route.timeoutMilliseconds,
    phase: 'held',
    attempt: 0,
    server: null,
    unit: null,
    epoch: null,
    retryAt: 0,
    holdUntil: 0,
    mayHaveRun: false,
    lastReason: '',
  };
  requests.active.set(request.id, request);
  dispatch(context, request);
}

function dispatch(context: ReducerContext, request: ActiveRequest): void {
  const { requests } = context.state;
  requests.held.delete(request);
  if (context.now + MINIMUM_TIME_BEFORE_DEADLINE > request.deadlineAt) {
    answer(context, request, 503, 'not-run', 'Not run in time', 1);
    return;
  }
  const destination = destinationOf(context, request);
  if (typeof destination === 'string') {
    holdForRetry(context, request, destination);
    return;
  }
  const { id, limit } = destination;
  const load = serverLoadOf(requests, id);
  if (load.inFlight < limit) {
    forward(context, request, destination);
    return;
  }
  request.phase = 'queued';
  request.server = id;
  context.state.counters.requests_queued += 1;
  const shed = enqueue(load, request, limit);
  if (shed !== undefined) {
    context.state.counters.requests_shed += 1;
    shed.lastReason = `server ${id} is overloaded`;
    answer(context, shed, 503, 'not-run', 'Overloaded', 1);
  }
}

function forward(context: ReducerContext, request: ActiveRequest, destination: Destination): void {
  const { requests, counters } = context.state;
  const { id, address, limit, token, toOtherSide } = destination;
  request.phase = 'running';
  request.attempt += 1;
  request.server = id;
  request.epoch = token?.epoch ?? null;
  serverLoadOf(requests, id).inFlight += 1;
  counters.attempts += 1;
  context.emit({
    kind: 'forward',
    requestId: request.id,
    attempt: request.attempt,
    server: id,
    address,
    token,
    connections: limit,
    hops: request.hops + 1,
    toOtherSide,
    deadlineAt: request.deadlineAt,
  });
}

/**
 * Holds a request for a retry, for example until its key has an owner. Answers `not-run` at once when a retry
 * is impossible.
 */
function holdForRetry(context: ReducerContext, request: ActiveRequest, reason: string): void {
  const { requests } = context.state;
  request.phase = 'held';
  request.lastReason = reason;
  request.server = null;
  if (request.holdUntil === 0) {
    request.holdUntil = Math.min(
      request.deadlineAt - MINIMUM_TIME_BEFORE_DEADLINE,
      context.now + MAXIMUM_HOLD_TIME,
    );
  }
  const delay = Math.min(MAXIMUM_RETRY_DELAY, INITIAL_RETRY_DELAY * 2 ** Math.min(request.attempt, 8));
  request.retryAt = context.now + delay;
  const canStillRun = request.retryAt < request.holdUntil && requests.held.size < MAXIMUM_HELD_REQUESTS;
  if (!canStillRun || (request.attempt > 0 && !request.replayable)) {
    answer(context, request, 503, 'not-run', 'Not run', 1);
    return;
  }
  requests.held.add(request);
}

function releaseInFlightSlot(context: ReducerContext, server: ServerId): void {
  const { requests } = context.state;
  const load = serverLoadOf(requests, server);
  load.inFlight = Math.max(0, load.inFlight - 1);
  const next = load.queue.shift();
  if (next !== undefined) {
    dispatch(context, next);
  }
}

/** Records that the head of the response is being sent to the caller. */
export function receiveAnswerStarted(context: ReducerContext, requestId: number, attempt: number): void {
  const request = context.state.requests.active.get(requestId);
  if (request?.attempt === attempt) {
    request.phase = 'answering';
  }
}

/** Handles the end of an attempt, whatever its result. */
export function receiveAttemptEnded(context: ReducerContext, event: AttemptEndedEvent): void {
  const { requests } = context.state;
  const request = requests.active.get(event.requestId);
  if (request === undefined || request.attempt !== event.attempt || request.server === null) {
    return;
  }
  const { server } = request;
  handleAttemptResult(context, request, server, event.result);
  releaseInFlightSlot(context, server);
}

function handleAttemptResult(
  context: ReducerContext,
  request: ActiveRequest,
  server: ServerId,
  result: AttemptResult,
): void {
  const { requests, counters } = context.state;
  if (result.kind === 'answered') {
    counters.requests_answered += 1;
    removeRequest(context, request);
    return;
  }
  request.lastReason = `server ${server}: ${result.reason}`;
  if (result.kind === 'lost') {
    serverLoadOf(requests, server).avoidUntil = context.now + AVOIDANCE_TIME_AFTER_FAILURE;
    handleLostAttempt(context, request, result.answerStarted);
    return;
  }
  counters.attempts_refused += 1;
  if (request.key === null) {
    serverLoadOf(requests, server).avoidUntil = context.now + AVOIDANCE_TIME_AFTER_FAILURE;
  }
  holdForRetry(context, request, request.lastReason);
}

function handleLostAttempt(context: ReducerContext, request: ActiveRequest, answerStarted: boolean): void {
  const { requests, counters, rules } = context.state;
  request.mayHaveRun = true;
  const repeatable = request.route.repeatable || !rules.neverRetryNonRepeatable;
  if (repeatable && !answerStarted && request.replayable && requests.retryBudget >= 1) {
    requests.retryBudget -= 1;
    counters.retries += 1;
    holdForRetry(context, request, request.lastReason);
    return;
  }
  const outcome: Outcome = rules.reportUnknownAfterLoss ? 'unknown' : 'not-run';
  answer(context, request, 502, outcome, 'Connection to the server lost', null);
}

/** Aborts the request of a caller that has disconnected. */
export function receiveCallerLeft(context: ReducerContext, requestId: number): void {
  const request = context.state.requests.active.get(requestId);
  if (request !== undefined) {
    abort(context, request);
  }
}

function abort(context: ReducerContext, request: ActiveRequest): void {
  removeRequest(context, request);
  detachFromServer(context, request);
}

/** Removes a request from a server's queue, or cancels its attempt at that server. */
function detachFromServer(context: ReducerContext, request: ActiveRequest): void {
  const { server, phase } = request;
  if (server === null) {
    return;
  }
  if (phase === 'queued') {
    const { queue } = serverLoadOf(context.state.requests, server);
    queue.splice(queue.indexOf(request), 1);
    return;
  }
  context.emit({ kind: 'cancel', requestId: request.id, attempt: request.attempt });
  releaseInFlightSlot(context, server);
}

function ownerHasChanged(context: ReducerContext, request: ActiveRequest): boolean {
  const { unit, epoch, group } = request;
  if (unit === null || epoch === null || request.phase !== 'running') {
    return false;
  }
  const shard = context.state.tables.shards.get(shardOfUnit(group, unit));
  return (shard?.table.records.get(unit)?.epoch ?? epoch) > epoch;
}

/**
 * Retries a repeatable request whose server has lost the unit: the server may be frozen and never respond.
 */
function retryAtNewOwner(context: ReducerContext, request: ActiveRequest): void {
  if (!request.route.repeatable || !request.replayable || !ownerHasChanged(context, request)) {
    return;
  }
  detachFromServer(context, request);
  request.lastReason = `server ${request.server ?? ''} lost the unit while the request was there`;
  handleLostAttempt(context, request, false);
}

function checkDeadline(context: ReducerContext, request: ActiveRequest): void {
  if (context.now < request.deadlineAt || request.phase === 'answering') {
    return;
  }
  const wasRunning = request.phase === 'running';
  abort(context, request);
  request.lastReason = wasRunning ? `server ${request.server} did not answer in time` : 'no server in time';
  const outcome = wasRunning ? 'unknown' : 'not-run';
  answer(context, request, wasRunning ? 504 : 503, outcome, 'Deadline passed', wasRunning ? null : 1);
}

/** Retries held requests that are due and periodically ends those whose deadline has passed. */
export function tickRequests(context: ReducerContext): void {
  const { requests } = context.state;
  for (const request of [...requests.held]) {
    if (context.now >= request.retryAt) {
      dispatch(context, request);
    }
  }
  if (context.now >= requests.nextDeadlineCheckAt) {
    requests.nextDeadlineCheckAt = context.now + DEADLINE_CHECK_INTERVAL;
    for (const request of [...requests.active.values()]) {
      retryAtNewOwner(context, request);
      checkDeadline(context, request);
    }
  }
}
