/**
 * Forwards a request to a server, holds it, or ends it. The daemon answers that a request has not run only with proof: no attempt was sent,
 * or a server rejected each one that was.
 */
import type { Milliseconds } from '../model/identifiers.js';
import { storeDataAge } from '../news/store-data-age.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer, RouterState } from '../router-state.js';
import { forwardToProxy, endProxiedAttempt } from '../proxying/proxy-load.js';
import { findProxy } from '../proxying/proxy-choice.js';
import { type ActiveRequest, isHeld } from './active-request.js';
import type { PermitAnswer } from '../limits/permit-messages.js';
import { requestPermit, recordPermitAnswer } from '../limits/permit-exchange.js';
import {
  BEHIND_HELD,
  canWait,
  findRequestAhead,
  holdForRoom,
  refuseForRoom,
  retryTimeOf,
} from './held-queue.js';
import { findDestination } from './destination.js';
import { isRefusal, type RoutingRefusal } from './refusals.js';
import { endWithOwnAnswer } from './request-ending.js';
import { RetryBudget } from './retry-budget.js';
import { DEFAULT_RETRY_AFTER, HELD_RETRY_INTERVAL } from './request-timing.js';

/** Maximum number of attempts of a request, including attempts that were never sent. */
const MAX_ATTEMPTS_INCLUDING_UNSENT = 6;
/** A request is no longer sent when less than this fraction of its latency objective is left until its deadline. */
const MIN_TIME_LEFT_FRACTION = 0.1;
/** Time for which a server is avoided after its first failure; doubles with each further failure up to the maximum. */
const INITIAL_AVOIDANCE_TIME: Milliseconds = 150;
const MAX_AVOIDANCE_TIME: Milliseconds = 2_000;

/** Returns the retry budget of a service. */
export function retryBudgetOf(context: RouterContext, service: string): RetryBudget {
  const { retryBudgets, bounds, daemons } = context.state;
  let budget = retryBudgets.get(service);
  if (budget === undefined) {
    budget = new RetryBudget(bounds.retries, daemons);
    retryBudgets.set(service, budget);
  }
  return budget;
}

/** Sets the number of daemons that share the bounds on all of them. */
export function setDaemonCount(state: RouterState, daemons: number): void {
  if (state.daemons !== daemons) {
    state.daemons = daemons;
    state.retryBudgets.forEach((budget) => budget.setDaemonCount(daemons));
  }
}

/** Forwards a request to a server, holds it, or ends it with the daemon's own answer. It does not overtake requests that wait for room. */
export function dispatchRequest(context: RouterContext, request: ActiveRequest): void {
  const ahead = findRequestAhead(context, request);
  if (ahead === undefined) {
    dispatchFirst(context, request);
  } else if (canWait(context, request)) {
    holdForRoom(context, request, BEHIND_HELD);
  } else if (ahead.route.priority < request.route.priority) {
    refuseForRoom(context, request, BEHIND_HELD);
  } else {
    // It can't be held any longer, and one of the same urgency that was sent to no server says little of what is left for this one.
    dispatchFirst(context, request);
  }
}

/** Dispatches a request that no held one is ahead of. Returns false when no server has room for it. */
export function dispatchFirst(context: RouterContext, request: ActiveRequest): boolean {
  const { state, now } = context;
  const { route } = request;
  state.heldQueues.get(request.service)?.requests.remove(request);
  if (request.deadlineAt - now < route.latencyObjective * MIN_TIME_LEFT_FRACTION) {
    endWithOwnAnswer(context, request, 'too little time is left', DEFAULT_RETRY_AFTER);
    return true;
  }
  if (request.attempts >= route.maxAttempts || request.attemptNumber >= MAX_ATTEMPTS_INCLUDING_UNSENT) {
    endWithOwnAnswer(context, request, 'no attempt is left', retryTimeOf(context, request, true));
    return true;
  }
  const destination = findProxy(context, request) ?? findDestination(context, request);
  if (isRefusal(destination)) {
    holdOrRefuse(context, request, destination);
    return !destination.waitsForRoom;
  }
  if (request.attempts > request.prepaidAttempts && !retryBudgetOf(context, request.service).tryTake()) {
    state.counters.retries_over_budget += 1;
    endWithOwnAnswer(context, request, 'the retry budget is spent', retryTimeOf(context, request, true));
    return true;
  }
  if ('server' in destination) {
    forwardRequest(context, request, destination);
  } else {
    forwardToProxy(context, request, destination);
  }
  return true;
}

/** Holds a request if it may be sent in time, and asks for the permit that it needs; otherwise ends it. One that waits for room is queued. */
function holdOrRefuse(context: RouterContext, request: ActiveRequest, refusal: RoutingRefusal): void {
  const { state, now } = context;
  const { canHold, permitFrom, isRateLimited, reason, retryAfter } = refusal;
  if (refusal.waitsForRoom) {
    holdForRoom(context, request, refusal);
    return;
  }
  if (!canHold || now + HELD_RETRY_INTERVAL > request.holdUntil) {
    state.counters.refused_at_limits += isRateLimited ? 1 : 0;
    endWithOwnAnswer(context, request, reason, retryAfter, refusal.isPathLost);
    return;
  }
  request.retryAt = now + HELD_RETRY_INTERVAL;
  if (permitFrom !== null) {
    const seeker = { id: request.id, priority: request.route.priority, holdUntil: request.holdUntil };
    processPermitAnswers(context, requestPermit(context, seeker, permitFrom));
  }
}

/** Records answers to this daemon's requests for permits, and dispatches the held requests that waited for them. */
export function processPermitAnswers(context: RouterContext, answers: readonly PermitAnswer[]): void {
  for (const answer of answers) {
    recordPermitAnswer(context, answer);
    const request = context.state.requests.get(answer.requestId);
    if (request !== undefined && isHeld(request)) {
      dispatchRequest(context, request);
    }
  }
}

function forwardRequest(context: RouterContext, request: ActiveRequest, known: KnownServer): void {
  const { counters } = context.state;
  counters.attempts += 1;
  counters.retries += request.attempts > 0 ? 1 : 0;
  request.attempts += 1;
  request.attemptNumber += 1;
  request.execution.begin();
  request.server = known.server.id;
  request.attemptStartedAt = context.now;
  request.dataAge = storeDataAge(context);
  request.sentToFreeSlot = known.load.estimatedInFlight(context.now) < known.server.slots;
  if (request.key === null) {
    request.triedServers.push(known.server.id);
  }
  usePermit(context, request, known);
  known.load.inFlight.set(request.id, context.now);
  known.coldSendWindows.recordSend(context.now);
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
    repeatable: request.route.repeatable,
  });
}

function usePermit({ state, now }: RouterContext, request: ActiveRequest, known: KnownServer): void {
  request.usedPermit = state.limits.of(known.server.id) !== null;
  if (request.usedPermit) {
    known.permits.recordSend(now);
  }
}

/** Removes a request from its server's requests in flight, and returns the server; undefined without one, or when it isn't listed any more. */
export function endAttempt(context: RouterContext, request: ActiveRequest): KnownServer | undefined {
  const known = request.server === null ? undefined : context.state.servers.get(request.server);
  known?.load.inFlight.delete(request.id);
  request.server = null;
  return known;
}

/** Records the outcome of an attempt, for the log. */
export function recordAttemptOutcome(context: RouterContext, request: ActiveRequest, outcome: string): void {
  const duration = Math.round(context.now - request.attemptStartedAt);
  const receiver = request.server ?? request.proxy?.daemon ?? '-';
  request.attemptOutcomes.push(`${receiver} ${outcome} after ${duration} ms`);
}

/** Cancels the attempt in flight, if there is one. */
export function cancelAttempt(context: RouterContext, request: ActiveRequest, reason: string): void {
  if (isHeld(request)) {
    return;
  }
  recordAttemptOutcome(context, request, reason);
  context.emit({ kind: 'cancel', requestId: request.id, attempt: request.attemptNumber });
  request.execution.abandon();
  endProxiedAttempt(context, request);
  const known = endAttempt(context, request);
  const { attemptStartedAt, sentToFreeSlot, route } = request;
  known?.load.recordUnanswered(context.now - attemptStartedAt, context.now, !sentToFreeSlot, route);
}

/** Records a failure of a server and avoids the server for a time that grows with its failures. */
export function avoidAfterFailure(known: KnownServer | undefined, now: Milliseconds): void {
  if (known !== undefined) {
    const { load } = known;
    load.avoidUntil = now + Math.min(MAX_AVOIDANCE_TIME, INITIAL_AVOIDANCE_TIME * 2 ** load.failures);
    load.failures += 1;
  }
}
