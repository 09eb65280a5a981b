/** Decides what follows when an attempt ends without an answer and may have run. */
import type { AttemptResult } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import { CRASHES_FOR_QUARANTINE } from '../quarantine/crash-entry.js';
import { recordConnectionClosed } from '../quarantine/crash-detection.js';
import { recordFailedRetest } from '../quarantine/quarantine.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from './active-request.js';
import { avoidAfterFailure, dispatchRequest } from './request-dispatch.js';
import { endWithOwnAnswer, recordRequestEnd } from './request-ending.js';
import { DEFAULT_RETRY_AFTER } from './request-timing.js';

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

/** Processes an attempt that ended without an answer: the request is repeated if that is safe, else it ends. */
export function processLostAttempt(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: Extract<AttemptResult, { kind: 'lost' }>,
): void {
  const { now } = context;
  request.lostAttempts += 1;
  recordLostAttempt(request, known, now);
  if (result.isClosedByServer) {
    recordConnectionClosed(context, request, known);
    recordFailedRetest(context, request);
    request.possibleCrashes += now - request.attemptStartedAt >= MAX_SHED_TIME ? 1 : 0;
  }
  if (result.isResponseStarted) {
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
