/** Takes requests in: route, service, key. */
import type { RequestArrivedEvent } from '../events.js';
import type { Route } from '../model/configuration.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { budgetOf, dispatch } from './request-dispatch.js';

/** Status codes of the daemon's own answers. */
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;
/** A request is held for this part of its latency objective before it is refused. */
const HOLD_PART = 0.22;
const START_RETRY_AFTER: Milliseconds = 300;

/** Takes a request in. */
export function receiveRequest(context: RouterContext, event: RequestArrivedEvent): void {
  const { state, now } = context;
  state.counters.requests += 1;
  if (state.configuration === null || state.serversRevision === null) {
    refuseUnknown(context, event, UNAVAILABLE, 'no configuration yet', START_RETRY_AFTER);
    return;
  }
  const route = state.routes.match(event.host, event.target);
  if (route === undefined) {
    refuseUnknown(context, event, NOT_FOUND, 'no route', null);
    return;
  }
  const service = state.rotation.next(route);
  const keyed = service !== undefined && state.configuration.services.get(service)?.keyed === true;
  if (service === undefined || (keyed && event.key === null)) {
    refuseUnknown(context, event, BAD_REQUEST, 'the request has no key', null);
    return;
  }
  budgetOf(context, service).addRequest();
  const request = createRequest(event, route, service, keyed ? event.key : null, now);
  state.requests.set(request.id, request);
  if (request.key !== null) {
    sampleKey(context, request.service, request.key);
  }
  dispatch(context, request);
}

function createRequest(
  event: RequestArrivedEvent,
  route: Route,
  service: string,
  key: number | null,
  now: Milliseconds,
): ActiveRequest {
  const patience = Math.min(event.callerPatience ?? route.timeout, route.timeout);
  return {
    id: event.requestId,
    attemptId: event.attemptId,
    route,
    service,
    key,
    arrivedAt: now,
    deadlineAt: now + patience,
    holdUntil: now + Math.min(patience, route.latencyObjective) * HOLD_PART,
    attempts: 0,
    attemptNumber: 0,
    server: null,
    attemptStartedAt: 0,
    sentToFreeSlot: false,
    retryAt: 0,
    tried: [],
    mayHaveRun: false,
    notes: [],
  };
}

function sampleKey(context: RouterContext, service: string, key: number): void {
  const { keySamples } = context.state;
  const keys = keySamples.get(service);
  if (keys === undefined) {
    keySamples.set(service, [key]);
  } else {
    keys.push(key);
  }
}

function refuseUnknown(
  context: RouterContext,
  event: RequestArrivedEvent,
  status: number,
  reason: string,
  retryAfter: Milliseconds | null,
): void {
  context.state.counters.refused += 1;
  context.emit({ kind: 'answer', requestId: event.requestId, status, reason, retryAfter });
  const { attemptId, host, target } = event;
  const configuration = context.state.configuration?.version ?? null;
  context.log('request_refused', { attempt_id: attemptId, status, reason, host, target, configuration });
}
