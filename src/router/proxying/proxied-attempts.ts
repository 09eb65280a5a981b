/** Sends requests to servers by way of other daemons, and applies what becomes of them there. */
import type { AttemptResult } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest, RequestProxy } from '../request/active-request.js';
import { describeResult } from '../request/attempt-description.js';
import { DEFAULT_RETRY_AFTER } from '../request/request-timing.js';
import { dispatchRequest, recordAttemptOutcome } from '../request/request-dispatch.js';
import { endWithOwnAnswer, recordRequestEnd } from '../request/request-ending.js';
import { endProxiedAttempt } from './proxy-load.js';

/** Results for which the proxy responded. */
const ANSWERS: ReadonlySet<AttemptResult['kind']> = new Set(['answered', 'refusedByProxy', 'failedAtProxy']);
/** Time for which a proxy is not used after it could not be reached, or did not reach the servers itself. */
const AVOIDANCE_TIME: Milliseconds = 500;

/** Stops using a proxy for a short time. */
export function avoidProxy({ state, now }: RouterContext, { address }: RequestProxy): void {
  state.proxying.avoidedUntil.set(address, now + AVOIDANCE_TIME);
}

/** Applies the result of an attempt at a proxy to its request. */
export function receiveProxyResult(
  context: RouterContext,
  request: ActiveRequest,
  result: AttemptResult,
): void {
  const { state } = context;
  const { proxy } = request;
  if (proxy === null) {
    return;
  }
  recordAttemptOutcome(context, request, describeResult(result));
  request.execution.end(result);
  endProxiedAttempt(context, request);
  const isPathLost = result.kind === 'refusedByProxy' && result.isPathLost;
  if (ANSWERS.has(result.kind) && !isPathLost) {
    state.proxying.answeredAt.set(proxy.address, context.now);
  }
  switch (result.kind) {
    case 'answered':
      state.counters.answered += 1;
      recordRequestEnd(context, request, 'answered', result.status, '');
      return;
    case 'refusedByProxy':
      return processProxyRefusal(context, request, proxy, result);
    case 'failedAtProxy':
      endWithOwnAnswer(context, request, result.reason, null);
      return;
    case 'lost':
      return processLostProxy(context, request, proxy, result);
    case 'notSent':
      avoidProxy(context, proxy);
      return dispatchRequest(context, request);
    case 'unsendable':
      state.counters.requests_unsendable += 1;
      endWithOwnAnswer(context, request, `the request can't be sent: ${result.reason}`, null);
      return;
    case 'ambiguousAnswer':
      // A proxy's response is the proxy's own statement.
      return;
    case 'rejected':
    case 'withdrawn':
    case 'withheld':
      return dispatchRequest(context, request);
  }
}

/** Nothing has run: another proxy may reach the servers, unless something else than the path was the reason. */
function processProxyRefusal(
  context: RouterContext,
  request: ActiveRequest,
  proxy: RequestProxy,
  { attempts, isPathLost, reason, retryAfter }: Extract<AttemptResult, { kind: 'refusedByProxy' }>,
): void {
  request.attempts = Math.max(request.attempts, attempts);
  context.state.counters[isPathLost ? 'proxies_without_path' : 'refused_by_proxies'] += 1;
  if (isPathLost) {
    avoidProxy(context, proxy);
    dispatchRequest(context, request);
    return;
  }
  endWithOwnAnswer(context, request, reason, retryAfter ?? DEFAULT_RETRY_AFTER);
}

/** The link to the proxy was lost after the request was written: a server may have run it. */
function processLostProxy(
  context: RouterContext,
  request: ActiveRequest,
  proxy: RequestProxy,
  { isResponseStarted, reason }: Extract<AttemptResult, { kind: 'lost' }>,
): void {
  const { state } = context;
  request.lostAttempts += 1;
  request.attempts += 1;
  avoidProxy(context, proxy);
  if (isResponseStarted) {
    state.counters.failed += 1;
    recordRequestEnd(context, request, 'broken_off', 0, reason);
  } else if (request.route.repeatable) {
    dispatchRequest(context, request);
  } else {
    endWithOwnAnswer(context, request, reason, null);
  }
}
