/** Applies the result of an attempt to its request and its server. */
import type { AttemptEndedEvent, AttemptResult } from '../events.js';
import { recordWorkTime } from '../load-view/load-recording.js';
import { receiveProxyResult } from '../proxying/proxied-attempts.js';
import { recordAttemptResult } from '../quarantine/crash-detection.js';
import { recordRequestAnswered } from '../quarantine/quarantine.js';
import { recordConnectionFailure, recordServerHeard } from '../reachability/path-checks.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { type ActiveRequest, isHeld } from './active-request.js';
import { describeResult } from './attempt-description.js';
import { dispatchHeldAfterAttempt } from './held-rounds.js';
import { recordLoadReport } from './load-reports.js';
import { processLostAttempt } from './lost-attempt.js';
import { recordForeignAnswer } from './refused-attempts.js';
import { processRejection } from './rejected-attempt.js';
import { avoidAfterFailure, dispatchRequest, endAttempt, recordAttemptOutcome } from './request-dispatch.js';
import { endWithOwnAnswer, recordRequestEnd } from './request-ending.js';
import type { ReportedLoad } from './server-load.js';

/** Processes the end of an attempt; ignores an attempt that isn't the request's current one. */
export function receiveAttemptEnded(context: RouterContext, event: AttemptEndedEvent): void {
  const request = context.state.requests.get(event.requestId);
  if (request?.attemptNumber !== event.attempt || isHeld(request)) {
    return;
  }
  if (request.server === null) {
    receiveProxyResult(context, request, event.result);
    return;
  }
  recordAttemptOutcome(context, request, describeResult(event.result));
  request.execution.end(event.result);
  recordForeignAnswer(context, request.server, event.result);
  recordAttemptResult(context, request.server, request.attemptStartedAt, event.result);
  const known = endAttempt(context, request);
  recordContact(context, request, known, event.result);
  processResult(context, request, known, event.result);
  dispatchHeldAfterAttempt(context, request);
}

/** Records whether the server has responded, or could not be reached. */
function recordContact(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  { kind }: AttemptResult,
): void {
  if (known === undefined) {
    return;
  }
  if (kind === 'answered' || kind === 'ambiguousAnswer' || kind === 'rejected') {
    recordServerHeard(context, known);
  } else if (kind === 'notSent') {
    recordConnectionFailure(context, known, request.attemptStartedAt);
  }
}

function processResult(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  result: AttemptResult,
): void {
  const { state, now } = context;
  switch (result.kind) {
    case 'answered':
      recordAnswer(context, request, known, recordLoadReport(context, known, result.load));
      state.counters.answered += 1;
      recordUnmarkedEnd(context, request, known, result);
      recordRequestAnswered(context, request, result.status);
      recordRequestEnd(context, request, 'answered', result.status, '');
      return;
    case 'ambiguousAnswer':
      processAmbiguousAnswer(context, request, known, result);
      return;
    case 'rejected':
      state.counters.attempts_rejected += 1;
      processRejection(context, request, known, result);
      return;
    case 'notSent':
    case 'withdrawn':
      state.counters.attempts_not_sent += 1;
      request.attempts -= 1;
      if (request.usedPermit) {
        known?.permits.returnUnused(now);
      }
      if (known?.backOff.left(now) === 0) {
        avoidAfterFailure(known, now);
      }
      dispatchRequest(context, request);
      return;
    case 'unsendable':
      processUnsendableRequest(context, request, known, result.reason);
      return;
    case 'withheld':
      state.counters.writes_withheld += 1;
      processWithheldAttempt(context, request, known);
      return;
    case 'refusedByProxy':
    case 'failedAtProxy':
      // Servers do not end an attempt so.
      return;
    case 'lost':
      state.counters.attempts_lost += 1;
      processLostAttempt(context, request, known, result);
      return;
  }
}

/** Logs a response whose end was not marked: bytes of another response within it would not show. */
function recordUnmarkedEnd(
  context: RouterContext,
  { attemptId }: ActiveRequest,
  known: KnownServer | undefined,
  { unmarkedEnd }: Extract<AttemptResult, { kind: 'answered' }>,
): void {
  if (unmarkedEnd === undefined) {
    return;
  }
  const { counters } = context.state;
  const { bytes, pieces, earlierRequests } = unmarkedEnd;
  counters.unmarked_answers += 1;
  counters.unmarked_answers_on_used_connections += earlierRequests > 0 ? 1 : 0;
  const server = known?.server.id ?? null;
  const fields = { attempt_id: attemptId, server, bytes, pieces, earlier_requests: earlierRequests };
  context.log('unmarked_answer', fields);
}

/** Ends a request whose server has answered: the server is well, and the request may have run. */
function processAmbiguousAnswer(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  { status, load }: Extract<AttemptResult, { kind: 'ambiguousAnswer' }>,
): void {
  recordAnswer(context, request, known, recordLoadReport(context, known, load));
  context.state.counters.ambiguous_answers += 1;
  const reason = `the server answered ${status} and did not say whether it ran the request`;
  endWithOwnAnswer(context, request, reason, null);
}

/** Refuses a request that no server would be sent: the server is not at fault. */
function processUnsendableRequest(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  reason: string,
): void {
  context.state.counters.requests_unsendable += 1;
  request.attempts -= 1;
  if (request.usedPermit) {
    known?.permits.returnUnused(context.now);
  }
  endWithOwnAnswer(context, request, `the request can't be sent: ${reason}`, null);
}

/** Dispatches a request again whose attempt was not written. The server is not at fault and may be chosen again. */
function processWithheldAttempt(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
): void {
  request.attempts -= 1;
  if (request.key === null) {
    request.triedServers.pop();
  }
  if (request.usedPermit) {
    known?.permits.returnUnused(context.now);
  }
  dispatchRequest(context, request);
}

function recordAnswer(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
  load: ReportedLoad | null,
): void {
  const { now } = context;
  const duration = now - request.attemptStartedAt;
  if (load !== null && !mayHaveWaited(request, load)) {
    recordWorkTime(context, request, duration, load);
  }
  known?.backOff.recordAnswer(request.attemptStartedAt);
  known?.load.answered(duration, now, mayHaveWaited(request, load), request.route);
  known?.load.window.answered(duration, request.route.latencyObjective, known.load.inFlight.size, now);
}

/** Returns whether a request may have waited at its server for a slot. */
function mayHaveWaited(request: ActiveRequest, load: ReportedLoad | null): boolean {
  return !request.sentToFreeSlot || (load !== null && load.waiting > 0);
}
