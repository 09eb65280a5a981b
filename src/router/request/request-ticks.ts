/** Periodic checks of active requests (retries, deadlines, unresponsive servers), and requests whose caller disconnects. */
import type { CallerLeftEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { findDestination } from './destination.js';
import { isRefusal } from './refusals.js';
import { processEarlyRequests } from './request-arrival.js';
import {
  avoidAfterFailure,
  retryBudgetOf,
  cancelAttempt,
  dispatchRequest,
  endWithOwnAnswer,
  recordRequestEnd,
} from './request-dispatch.js';
import { DEFAULT_RETRY_AFTER, HOLD_FRACTION } from './request-timing.js';

/** A request is taken from an unresponsive server after the longer of this fraction of its latency objective and this many service times. */
const UNRESPONSIVE_OBJECTIVE_FRACTION = 0.8;
const UNRESPONSIVE_SERVICE_TIMES = 3;
/** The server stops by itself at the deadline; this daemon waits for its answer for this long after that. */
const DEADLINE_GRACE: Milliseconds = 30;
const CALLER_LEFT_BEFORE_READ = 'the caller had closed its connection before its request was read';

/** Cancels the request of a caller that closed its connection. */
export function receiveCallerLeft(context: RouterContext, event: CallerLeftEvent): void {
  const { state } = context;
  const { requestId, attemptId, isArrivalReported } = event;
  if (!isArrivalReported) {
    state.counters.callers_left_unread += 1;
    context.log('caller_left', {
      attempt_id: attemptId,
      status: 0,
      reason: CALLER_LEFT_BEFORE_READ,
      milliseconds: 0,
    });
    return;
  }
  state.earlyRequests.delete(requestId);
  const request = state.requests.get(requestId);
  if (request === undefined) {
    return;
  }
  state.counters.callers_left += 1;
  state.requests.delete(requestId);
  cancelAttempt(context, request, 'cancelled, the caller left');
  recordRequestEnd(context, request, 'caller_left', 0, 'the caller closed its connection');
}

/** Dispatches held requests again, ends requests past their deadline, and moves requests away from unresponsive servers. */
export function tickRequests(context: RouterContext): void {
  const { state, now } = context;
  processEarlyRequests(context);
  for (const request of [...state.requests.values()]) {
    if (request.server === null) {
      if (now >= request.retryAt) {
        dispatchRequest(context, request);
      }
    } else if (now >= request.deadlineAt + DEADLINE_GRACE) {
      cancelAttempt(context, request, 'cancelled at the deadline');
      request.mayHaveRun = true;
      endWithOwnAnswer(context, request, 'not answered in time', DEFAULT_RETRY_AFTER);
    } else {
      retryIfUnresponsive(context, request);
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
    request.mayHaveRun = true;
    avoidAfterFailure(known, now);
    dispatchRequest(context, request);
  }
}
