/** Ends requests: the daemon's own answers, the log line of every request and the latency histograms. */
import type { RequestOutcome } from '../effects.js';
import type { LogEventName } from '../log-events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { refusalFields } from './balanced-service.js';
import { recordRefusal } from './refused-attempts.js';

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

/** Ends a request with the daemon's own answer: a failure if the request may have run, else a refusal. */
export function endWithOwnAnswer(
  context: RouterContext,
  request: ActiveRequest,
  reason: string,
  retryAfter: Milliseconds | null,
  isPathLost = false,
): void {
  const { state, now } = context;
  const isPastDeadline = now >= request.deadlineAt;
  const execution = request.execution.statement;
  const failed = execution.mayHaveRun;
  const failureStatus = isPastDeadline ? GATEWAY_TIMEOUT : BAD_GATEWAY;
  const status = failed ? failureStatus : UNAVAILABLE;
  if (execution.mayHaveRun) {
    state.counters.failed += 1;
  } else {
    recordRefusal(context, request, execution.proofs);
  }
  const answerRetryAfter = failed ? null : retryAfter;
  context.emit({
    kind: 'answer',
    requestId: request.id,
    status,
    reason,
    retryAfter: answerRetryAfter,
    execution,
    attempts: request.attempts,
    isPathLost,
  });
  recordRequestEnd(context, request, failed ? 'failed' : 'refused', status, reason);
}

/** Removes a request from the state, and records its end in the log and the latency histograms. */
export function recordRequestEnd(
  context: RouterContext,
  request: ActiveRequest,
  outcome: RequestOutcome,
  status: number,
  reason: string,
): void {
  const { state, now } = context;
  state.requests.delete(request.id);
  state.heldQueues.get(request.service)?.requests.remove(request);
  context.emit({ kind: 'requestEnded', outcome, duration: now - request.arrivedAt });
  context.log(LOG_EVENTS[outcome], {
    attempt_id: request.attemptId,
    status,
    reason,
    route: request.route.name,
    service: request.service,
    key: request.key,
    configuration: state.configuration?.version ?? null,
    ownership: request.key === null ? null : `${state.ownershipView.term}.${state.ownershipView.sequence}`,
    servers: state.serversRevision,
    ...(request.dataAge !== null ? { data_age: request.dataAge } : {}),
    attempts: request.attemptOutcomes,
    ...(outcome === 'answered' || request.execution.ended.length === 0
      ? {}
      : { execution: request.execution.ended }),
    milliseconds: Math.round(now - request.arrivedAt),
    ...(outcome === 'refused' ? refusalFields(context, request) : {}),
    ...(request.readDelay >= 1 ? { read_delay: Math.round(request.readDelay) } : {}),
    ...(request.origin === null ? {} : { proxied_for: request.origin.daemon }),
    ...(request.triedProxies.length === 0 ? {} : { proxy: request.triedProxies.at(-1) }),
    ...(request.lostAttempts > 0 ? { fingerprint: request.fingerprint.value } : {}),
  });
}
