/** What time does to requests, and what happens when a caller leaves. */
import type { CallerLeftEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { findDestination } from './destination.js';
import { isRefusal } from './refusals.js';
import { tickEarlyRequests } from './request-arrival.js';
import { avoidAfterFailure, budgetOf, cancelAttempt, dispatch, giveUp, logEnd } from './request-dispatch.js';
import { DEFAULT_RETRY_AFTER, HOLD_PART } from './request-timing.js';

/** A request at a silent server is sent elsewhere after this part of its objective, and this many usual times. */
const SILENT_PART = 0.8;
const SILENT_FACTOR = 3;
/** The server gives up at the deadline by itself; its answer is awaited for this long. */
const DEADLINE_SLACK: Milliseconds = 30;
const LEFT_UNREAD = 'the caller had closed its connection before its request was read';

/** The caller is gone: its request is cancelled at once. */
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

/** Sends held requests again, ends those whose time is up, and leaves servers that have fallen silent. */
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

/** A request goes to another server when its own seems dead; only if there is one, and not during a stop. */
function leaveSilentServer(context: RouterContext, request: ActiveRequest): void {
  const { state, now } = context;
  const known = request.server === null ? undefined : state.servers.get(request.server);
  if (known === undefined || !known.load.isSilent(now) || !request.route.repeatable || request.key !== null) {
    return;
  }
  const objective = request.route.latencyObjective;
  const patience = Math.max(objective * SILENT_PART, SILENT_FACTOR * known.load.serviceTime);
  const isDue = now - request.attemptStartedAt > patience && !state.stopping;
  const canRetry =
    request.attempts < request.route.maxAttempts &&
    request.deadlineAt - now > objective * HOLD_PART &&
    budgetOf(context, request.service).hasRetry;
  if (isDue && canRetry && !isRefusal(findDestination(context, request))) {
    cancelAttempt(context, request, 'cancelled, the server is silent');
    request.mayHaveRun = true;
    avoidAfterFailure(known, now);
    dispatch(context, request);
  }
}
