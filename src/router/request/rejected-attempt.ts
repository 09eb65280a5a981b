/** Decides what follows when a server rejects a request without running it. */
import type { AttemptResult } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import { recordMisdirectedRequest } from '../ownership/isolation.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { reportOverload } from '../tree/reports.js';
import type { ActiveRequest } from './active-request.js';
import { recordLoadReport } from './load-reports.js';
import { retryTimeOf } from './held-queue.js';
import { avoidAfterFailure, dispatchRequest } from './request-dispatch.js';
import { endWithOwnAnswer } from './request-ending.js';
import { HELD_RETRY_INTERVAL, OVERLOAD_RETRY_AFTER } from './request-timing.js';
import type { ReportedLoad } from './server-load.js';

/** Time for which a server at capacity gets no request. */
const OVERLOAD_AVOIDANCE_TIME: Milliseconds = 40;

/**
 * Rejections by servers that report free slots after which a request is not sent again: what the servers reject for lies in the request or
 * in all of them, and a third attempt would use up the retry budget of requests that can be served.
 */
const MAX_REJECTIONS_WITH_FREE_SLOTS = 2;

/** Processes a server's statement that it has not run the request: another server gets it, or it is held or refused. */
export function processRejection(
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
    // The retry time begins when half of the owner's queue is answered.
    const queueTime = (reading.waiting / reading.slots) * known.load.serviceTime;
    const retryAfter = Math.min(queueTime, request.route.latencyObjective) / 2;
    endWithOwnAnswer(
      context,
      request,
      `the owner ${known.server.id} is full`,
      retryTimeOf(context, request, false, Math.max(OVERLOAD_RETRY_AFTER, retryAfter)),
    );
    return;
  }
  if (known !== undefined && !result.misdirected) {
    known.load.avoidUntil = Math.max(known.load.avoidUntil, now + OVERLOAD_AVOIDANCE_TIME);
  }
  if (request.key === null && !result.misdirected && reading !== null && reading.running < reading.slots) {
    request.rejectionsWithFreeSlots += 1;
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
  if (
    request.rejectionsWithFreeSlots >= MAX_REJECTIONS_WITH_FREE_SLOTS &&
    !request.execution.statement.mayHaveRun
  ) {
    const reason = 'servers with free slots have rejected it';
    endWithOwnAnswer(context, request, reason, retryTimeOf(context, request, true));
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
