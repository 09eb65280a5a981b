/** Periodic checks of active requests (retries, deadlines, unresponsive servers), and requests whose caller disconnects. */
import type { CallerLeftEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import { avoidProxy } from '../proxying/proxied-attempts.js';
import { findProxy } from '../proxying/proxy-choice.js';
import { isPathLost } from '../reachability/path-checks.js';
import { type ActiveRequest, isHeld } from './active-request.js';
import { findDestination } from './destination.js';
import { isRefusal } from './refusals.js';
import { dispatchAllHeldRequests, dispatchHeldAfterAttempt, updateMinimumShares } from './held-rounds.js';
import { processEarlyRequests } from './request-arrival.js';
import { avoidAfterFailure, retryBudgetOf, cancelAttempt, dispatchRequest } from './request-dispatch.js';
import { endWithOwnAnswer, recordRequestEnd } from './request-ending.js';
import { DEFAULT_RETRY_AFTER, HOLD_FRACTION } from './request-timing.js';

/** A request is taken from an unresponsive server after the longer of this fraction of its latency objective and this many service times. */
const UNRESPONSIVE_OBJECTIVE_FRACTION = 0.8;
const UNRESPONSIVE_SERVICE_TIMES = 3;
/** The server stops by itself at the deadline; this daemon waits for its answer for this long after that. */
const DEADLINE_GRACE: Milliseconds = 30;
/** A proxy that answers none of this daemon's requests for this long is taken for unresponsive. */
const PROXY_TIMEOUT: Milliseconds = 400;
const CALLER_LEFT_BEFORE_READ = 'the caller had closed its connection before its request was read';

/** Cancels the request of a caller that closed its connection. */
export function receiveCallerLeft(context: RouterContext, event: CallerLeftEvent): void {
  const { state } = context;
  const { requestId, attemptId, isArrivalReported, reason } = event;
  if (!isArrivalReported) {
    state.counters.callers_left_unread += 1;
    context.log('caller_left', {
      attempt_id: attemptId,
      status: 0,
      reason: reason ?? CALLER_LEFT_BEFORE_READ,
      milliseconds: 0,
    });
    return;
  }
  state.earlyRequests.delete(requestId);
  const request = state.requests.get(requestId);
  if (request === undefined) {
    return;
  }
  const { server } = request;
  state.counters.callers_left += 1;
  cancelAttempt(context, request, 'cancelled, the caller left');
  recordRequestEnd(context, request, 'caller_left', 0, reason ?? 'the caller closed its connection');
  if (server !== null) {
    dispatchHeldAfterAttempt(context, request);
  }
}

/** Dispatches held requests again, ends requests past their deadline, and moves requests away from unresponsive servers. */
export function tickRequests(context: RouterContext): void {
  const { state, now } = context;
  processEarlyRequests(context);
  updateMinimumShares(context);
  dispatchAllHeldRequests(context);
  for (const request of [...state.requests.values()]) {
    if (isHeld(request)) {
      if (now >= request.retryAt) {
        dispatchRequest(context, request);
      }
    } else if (now >= request.deadlineAt + DEADLINE_GRACE) {
      cancelAttempt(context, request, 'cancelled at the deadline');
      endWithOwnAnswer(context, request, 'not answered in time', DEFAULT_RETRY_AFTER);
    } else if (request.server === null) {
      retryIfProxyUnresponsive(context, request);
    } else if (isPathLost(state, request.service)) {
      retryByProxy(context, request);
    } else {
      retryIfUnresponsive(context, request);
    }
  }
}

/** Returns whether a request whose attempt may have reached a server may be sent once more. */
function canRepeat(context: RouterContext, request: ActiveRequest): boolean {
  const { route, attempts, deadlineAt, service } = request;
  return (
    route.repeatable &&
    attempts < route.maxAttempts &&
    deadlineAt - context.now > route.latencyObjective * HOLD_FRACTION &&
    retryBudgetOf(context, service).hasRetry
  );
}

/** Sends a request by way of another daemon that was written to a server before the path was lost. */
function retryByProxy(context: RouterContext, request: ActiveRequest): void {
  const proxy = canRepeat(context, request) ? findProxy(context, request) : null;
  if (proxy !== null && !isRefusal(proxy)) {
    cancelAttempt(context, request, 'cancelled, the path is lost');
    dispatchRequest(context, request);
  }
}

/** Sends a request to another proxy when its own has answered nothing since. A proxy that does finds slow servers out itself. */
function retryIfProxyUnresponsive(context: RouterContext, request: ActiveRequest): void {
  const { state, now } = context;
  const { proxy, attemptStartedAt } = request;
  if (proxy === null) {
    return;
  }
  const answeredAt = state.proxying.answeredAt.get(proxy.address) ?? Number.NEGATIVE_INFINITY;
  const isSilent = now - attemptStartedAt > PROXY_TIMEOUT && answeredAt < attemptStartedAt;
  if (isSilent && !state.stopping && canRepeat(context, request)) {
    const next = findProxy(context, request);
    if (next !== null && !isRefusal(next)) {
      cancelAttempt(context, request, 'cancelled, the proxy is silent');
      avoidProxy(context, proxy);
      request.attempts += 1;
      dispatchRequest(context, request);
    }
  }
}

/** Sends a request to another server when its own is unresponsive; only if another one may get it, and not during a planned stop. */
function retryIfUnresponsive(context: RouterContext, request: ActiveRequest): void {
  const { state, now } = context;
  const known = request.server === null ? undefined : state.servers.get(request.server);
  if (
    known === undefined ||
    !known.load.isUnresponsive(now) ||
    !request.route.repeatable ||
    request.key !== null
  ) {
    return;
  }
  const objective = request.route.latencyObjective;
  const timeout = Math.max(
    objective * UNRESPONSIVE_OBJECTIVE_FRACTION,
    UNRESPONSIVE_SERVICE_TIMES * known.load.serviceTime,
  );
  const isOverdue = now - request.attemptStartedAt > timeout && !state.stopping;
  const canRetry =
    request.attempts < request.route.maxAttempts &&
    request.deadlineAt - now > objective * HOLD_FRACTION &&
    retryBudgetOf(context, request.service).hasRetry;
  if (isOverdue && canRetry && !isRefusal(findDestination(context, request))) {
    cancelAttempt(context, request, 'cancelled, the server is silent');
    avoidAfterFailure(known, now);
    dispatchRequest(context, request);
  }
}
