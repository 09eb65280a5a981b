/**
 * Forwards a request to a server, holds it, or ends it. The daemon answers that a request has not run only with proof: no attempt was sent,
 * or a server rejected each one that was.
 */
import type { RequestOutcome } from '../effects.js';
import type { LogEventName } from '../log-events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer, RouterState } from '../router-state.js';
import type { ActiveRequest } from './active-request.js';
import type { PermitAnswer } from '../limits/permit-messages.js';
import { askPermit, notePermitAnswer } from '../limits/permit-exchange.js';
import { findDestination } from './destination.js';
import { isRefusal, type NoDestination } from './refusals.js';
import { RetryBudget } from './retry-budget.js';
import { DEFAULT_RETRY_AFTER, HELD_RETRY } from './request-timing.js';

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
/** Log event for each outcome of a request. */
const LOG_EVENTS: Readonly<Record<RequestOutcome, LogEventName>> = {
  answered: 'request_answered',
  refused: 'request_refused',
  failed: 'request_failed',
  broken_off: 'request_broken_off',
  caller_left: 'caller_left',
};
/** Maximum number of attempts of a request, including attempts that were never sent. */
const MOST_ATTEMPT_NUMBERS = 6;
/** A request is no longer sent when less than this fraction of its latency objective is left until its deadline. */
const LEAST_TIME_PART = 0.1;
/** Time for which a server is avoided after its first failure; doubles with each further failure up to the maximum. */
const FIRST_AVOIDANCE: Milliseconds = 150;
const LONGEST_AVOIDANCE: Milliseconds = 2_000;

/** Returns the retry budget of a service. */
export function budgetOf(context: RouterContext, service: string): RetryBudget {
  const { budgets, bounds, daemons } = context.state;
  let budget = budgets.get(service);
  if (budget === undefined) {
    budget = new RetryBudget(bounds.retries, daemons);
    budgets.set(service, budget);
  }
  return budget;
}

/** Sets the number of daemons that share the bounds on all of them. */
export function setDaemons(state: RouterState, daemons: number): void {
  if (state.daemons !== daemons) {
    state.daemons = daemons;
    state.budgets.forEach((budget) => budget.shareAmong(daemons));
  }
}

/** Forwards a request to a server, holds it, or ends it with the daemon's own answer. */
export function dispatch(context: RouterContext, request: ActiveRequest): void {
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
    holdOrRefuse(context, request, destination);
    return;
  }
  if (request.attempts > 0 && !budgetOf(context, request.service).take()) {
    state.counters.retries_over_budget += 1;
    giveUp(context, request, 'the retry budget is spent', DEFAULT_RETRY_AFTER);
    return;
  }
  forward(context, request, destination);
}

/** Holds a request if it may be sent in time, and asks for the permit that it needs; otherwise ends it. */
function holdOrRefuse(context: RouterContext, request: ActiveRequest, refusal: NoDestination): void {
  const { state, now } = context;
  const { canHold, permitFrom, isRateLimited, reason, retryAfter } = refusal;
  if (!canHold || now + HELD_RETRY > request.holdUntil) {
    state.counters.refused_at_limits += isRateLimited ? 1 : 0;
    giveUp(context, request, reason, retryAfter);
    return;
  }
  request.retryAt = now + HELD_RETRY;
  if (permitFrom !== null) {
    const seeker = { id: request.id, priority: request.route.priority, holdUntil: request.holdUntil };
    takePermitAnswers(context, askPermit(context, seeker, permitFrom));
  }
}

/** Records answers to this daemon's requests for permits, and dispatches the held requests that waited for them. */
export function takePermitAnswers(context: RouterContext, answers: readonly PermitAnswer[]): void {
  for (const answer of answers) {
    notePermitAnswer(context, answer);
    const request = context.state.requests.get(answer.requestId);
    if (request?.server === null) {
      dispatch(context, request);
    }
  }
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
  takePlace(context, request, known);
  known.load.inFlight.set(request.id, context.now);
  known.coldTurns.use(context.now);
  known.load.window.sent(context.now);
  context.emit({
    kind: 'forward',
    requestId: request.id,
    attempt: request.attemptNumber,
    server: known.server.id,
    address: known.server.address,
    timeLeft: request.deadlineAt - context.now,
    buffer: true,
    isLimited: context.state.limits.of(known.server.id) !== null,
  });
}

function takePlace({ state, now }: RouterContext, request: ActiveRequest, known: KnownServer): void {
  request.tookPlace = state.limits.of(known.server.id) !== null;
  if (request.tookPlace) {
    known.permits.use(now);
  }
}

/** Ends a request with the daemon's own answer: a failure if the request may have run, else a refusal. */
export function giveUp(
  context: RouterContext,
  request: ActiveRequest,
  reason: string,
  retryAfter: Milliseconds | null,
): void {
  const { state, now } = context;
  state.requests.delete(request.id);
  const isPastDeadline = now >= request.deadlineAt;
  const failed = request.mayHaveRun;
  const failureStatus = isPastDeadline ? GATEWAY_TIMEOUT : BAD_GATEWAY;
  const status = failed ? failureStatus : UNAVAILABLE;
  state.counters[failed ? 'failed' : 'refused'] += 1;
  const answerRetryAfter = failed ? null : retryAfter;
  context.emit({ kind: 'answer', requestId: request.id, status, reason, retryAfter: answerRetryAfter });
  logEnd(context, request, failed ? 'failed' : 'refused', status, reason);
}

/** Records the end of a request in the log and the latency histograms. */
export function logEnd(
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
    ...(request.readDelay >= 1 ? { read_delay: Math.round(request.readDelay) } : {}),
    ...(request.lostAttempts > 0 ? { fingerprint: request.fingerprint.value } : {}),
  });
}

/** Removes a request from its server's requests in flight, and returns the server; undefined without one, or when it isn't listed any more. */
export function endAttempt(context: RouterContext, request: ActiveRequest): KnownServer | undefined {
  const known = request.server === null ? undefined : context.state.servers.get(request.server);
  known?.load.inFlight.delete(request.id);
  request.server = null;
  return known;
}

/** Records the outcome of an attempt, for the log. */
export function note(context: RouterContext, request: ActiveRequest, outcome: string): void {
  const duration = Math.round(context.now - request.attemptStartedAt);
  request.notes.push(`${request.server ?? '-'} ${outcome} after ${duration} ms`);
}

/** Cancels the attempt in flight, if there is one. */
export function cancelAttempt(context: RouterContext, request: ActiveRequest, reason: string): void {
  if (request.server === null) {
    return;
  }
  note(context, request, reason);
  context.emit({ kind: 'cancel', requestId: request.id, attempt: request.attemptNumber });
  const known = endAttempt(context, request);
  known?.load.abandoned(context.now - request.attemptStartedAt, context.now, !request.sentToFreeSlot);
}

/** Records a failure of a server and avoids the server for a time that grows with its failures. */
export function avoidAfterFailure(known: KnownServer | undefined, now: Milliseconds): void {
  if (known !== undefined) {
    const { load } = known;
    load.avoidUntil = now + Math.min(LONGEST_AVOIDANCE, FIRST_AVOIDANCE * 2 ** load.failures);
    load.failures += 1;
  }
}
