/** Periodic checks of active requests (retries, deadlines, unresponsive servers), and requests whose caller disconnects. */
import type { CallerLeftEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { findDestination } from './destination.js';
import { isRefusal } from './refusals.js';
import { tickEarlyRequests } from './request-arrival.js';
import { avoidAfterFailure, budgetOf, cancelAttempt, dispatch, giveUp, logEnd } from './request-dispatch.js';
import { DEFAULT_RETRY_AFTER, HOLD_PART } from './request-timing.js';

/** A request is taken from an unresponsive server after the longer of this fraction of its latency objective and this many service times. */
const SILENT_PART = 0.8;
const SILENT_FACTOR = 3;
/** The server stops by itself at the deadline; this daemon waits for its answer for this long after that. */
const DEADLINE_SLACK: Milliseconds = 30;
const LEFT_UNREAD = 'the caller had closed its connection before its request was read';

/** Cancels the request of a caller that closed its connection. */
export function receiveCallerLeft(context: RouterContext, event: CallerLeftEvent): void {
  const { state } = context;
  const { requestId, attemptId, isTakenIn } = event;
  if (!isTakenIn) {
    state.counters.callers_left_unread += 1;
    context.log('caller_left', { attempt_id: attemptId, status: 0, reason: LEFT_UNREAD, milliseconds: 0 });
    return;
  }
  state.early.delete(requestId);
  const request = state.requests.get(requestId);
  if (request === undefined) {
    return;
  }
  state.counters.callers_left += 1;
  state.requests.delete(requestId);
  cancelAttempt(context, request, 'cancelled, the caller left');
  logEnd(context, request, 'caller_left', 0, 'the caller closed its connection');
}

/** Dispatches held requests again, ends requests past their deadline, and moves requests away from unresponsive servers. */
export function tickRequests(context: RouterContext): void {
  const { state, now } = context;
  tickEarlyRequests(context);
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

/** Sends a request to another server when its own is unresponsive; only if another one may get it, and not during a planned stop. */
function leaveSilentServer(context: RouterContext, request: ActiveRequest): void {
  const { state, now } = context;
  const known = request.server === null ? undefined : state.servers.get(request.server);
  if (known === undefined || !known.load.isSilent(now) || !request.route.repeatable || request.key !== null) {
    return;
  }
  const objective = request.route.latencyObjective;
  const timeout = Math.max(objective * SILENT_PART, SILENT_FACTOR * known.load.serviceTime);
  const isOverdue = now - request.attemptStartedAt > timeout && !state.stopping;
  const canRetry =
    request.attempts < request.route.maxAttempts &&
    request.deadlineAt - now > objective * HOLD_PART &&
    budgetOf(context, request.service).hasRetry;
  if (isOverdue && canRetry && !isRefusal(findDestination(context, request))) {
    cancelAttempt(context, request, 'cancelled, the server is silent');
    request.mayHaveRun = true;
    avoidAfterFailure(known, now);
    dispatch(context, request);
  }
}
