/** Admits or refuses arriving requests: finds the route and the service, and checks for a key. */
import type { RequestArrivedEvent } from '../events.js';
import type { Configuration, Route } from '../model/configuration.js';
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import { isStoreDataConfirmed, isStoreDataUsable } from '../news/store-confirmation.js';
import type { RouterState } from '../router-state.js';
import type { RouterContext } from '../router-context.js';
import { recordArrival } from '../load-view/load-recording.js';
import type { ActiveRequest } from './active-request.js';
import {
  isHeldBack,
  isRefusedByQuarantine,
  refuseHeldBack,
  refuseQuarantined,
} from '../quarantine/quarantine.js';
import { addKeyRequestCounts } from '../tree/reports.js';
import { turnOf } from './held-queue.js';
import { retryBudgetOf, dispatchRequest } from './request-dispatch.js';
import { NO_ATTEMPT, RequestExecution } from './request-execution.js';
import { HOLD_FRACTION, OVERLOAD_RETRY_AFTER } from './request-timing.js';

/** Status codes of the daemon's own answers. */
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;
/** Time after which a caller should retry when no configuration is known yet. */
const NO_CONFIGURATION_RETRY_AFTER: Milliseconds = 300;
/** A request is held for this long without a usable configuration. The store answers sooner, unless this daemon can't reach it. */
const CONFIGURATION_HOLD: Milliseconds = 120;
/** A request must be read within this fraction of its latency objective: its answer passes through the same event loop and waits as long. */
const MAX_READ_DELAY_FRACTION = 0.5;
/** Retry times for requests that were read too late begin at this fraction of the latency objective. */
const MIN_LATE_RETRY_FRACTION = 0.25;
/** Spread of the retry times for requests that were read too late, as a fraction of the latency objective: callers return at different times. */
const LATE_RETRY_SPREAD_FRACTION = 0.5;
/** Maximum number of requests in progress for other daemons. */
const MAX_REQUESTS_FOR_OTHERS = 300;
/** Maximum number of requests that are held for a usable configuration. */
const MAX_EARLY_REQUESTS = 500;

/** Admits a request, or holds it until a configuration and a list of servers are known and recent enough. */
export function receiveRequest(context: RouterContext, event: RequestArrivedEvent): void {
  const { state, now } = context;
  state.counters[event.origin === null ? 'requests' : 'requests_for_others'] += 1;
  const configuration = usableConfiguration(context);
  if (configuration !== null) {
    admitRequest(context, event, configuration, now);
  } else if (state.earlyRequests.size < MAX_EARLY_REQUESTS) {
    state.earlyRequests.set(event.requestId, { event, readAt: now });
  } else {
    refuseEarlyRequest(context, event);
  }
}

/** Returns the configuration if requests may be routed by it now, otherwise null. */
function usableConfiguration({ state, now }: RouterContext): Configuration | null {
  const isUsable =
    state.serversRevision !== null && isStoreDataUsable(state, now, state.bounds.configuration);
  return isUsable ? state.configuration : null;
}

/**
 * Refuses a request that has no route. While the store does not answer, a newer configuration may have one; callers would not return
 * after a 404.
 */
function refuseWithoutRoute(context: RouterContext, event: RequestArrivedEvent): void {
  if (isStoreDataConfirmed(context.state, context.now, context.state.bounds.configuration)) {
    refuseBeforeAdmission(context, event, NOT_FOUND, 'no route', null);
    return;
  }
  const reason = 'no route in a configuration that is not confirmed';
  refuseBeforeAdmission(context, event, UNAVAILABLE, reason, NO_CONFIGURATION_RETRY_AFTER);
}

function refuseEarlyRequest(context: RouterContext, event: RequestArrivedEvent): void {
  const { configuration, serversRevision } = context.state;
  const isFirst = configuration === null || serversRevision === null;
  const reason = isFirst ? 'no configuration yet' : 'the configuration is not confirmed';
  refuseBeforeAdmission(context, event, UNAVAILABLE, reason, NO_CONFIGURATION_RETRY_AFTER);
}

/** Admits requests that arrived while no configuration and list of servers could be used, or refuses them once their hold time is over. */
export function processEarlyRequests(context: RouterContext): void {
  const { state } = context;
  const { earlyRequests } = state;
  for (const [requestId, { event, readAt }] of earlyRequests) {
    const configuration = usableConfiguration(context);
    if (configuration !== null) {
      earlyRequests.delete(requestId);
      admitRequest(context, event, configuration, readAt);
    } else if (context.now - readAt >= CONFIGURATION_HOLD) {
      earlyRequests.delete(requestId);
      refuseEarlyRequest(context, event);
    }
  }
}

function admitRequest(
  context: RouterContext,
  event: RequestArrivedEvent,
  configuration: Configuration,
  readAt: Milliseconds,
): void {
  const { state } = context;
  const route = state.routes.match(event.host, event.target);
  if (route === undefined) {
    refuseWithoutRoute(context, event);
    return;
  }
  if (event.readDelay >= route.latencyObjective * MAX_READ_DELAY_FRACTION) {
    refuseAfterReadDelay(context, event, route);
    return;
  }
  const service = targetOf(context, event, route);
  const keyed = service !== undefined && configuration.services.get(service)?.keyed === true;
  if (service === undefined || (keyed && event.key === null)) {
    refuseBeforeAdmission(context, event, BAD_REQUEST, 'the request has no key', null);
    return;
  }
  if (event.origin === null) {
    retryBudgetOf(context, service).creditRequest();
  } else if (countRequestsForOthers(state) >= MAX_REQUESTS_FOR_OTHERS) {
    const reason = 'too many requests of other daemons';
    refuseBeforeAdmission(context, event, UNAVAILABLE, reason, OVERLOAD_RETRY_AFTER);
    return;
  }
  const request = createRequest(context, event, route, service, keyed ? event.key : null, readAt);
  if (isRefusedByQuarantine(context, request)) {
    refuseQuarantined(context, request);
    return;
  }
  if (isHeldBack(context, request)) {
    refuseHeldBack(context, request);
    return;
  }
  state.requests.set(request.id, request);
  if (request.key !== null && event.origin === null) {
    addKeyRequestCounts(context, { service: request.service, keys: [request.key], counts: [1] });
  }
  recordArrival(context, request);
  dispatchRequest(context, request);
}

/** Returns the service for a request: the one that another daemon chose, if the route still has it. */
function targetOf(
  { state }: RouterContext,
  { origin }: RequestArrivedEvent,
  route: Route,
): ServiceName | undefined {
  const isStillTarget = route.targets.some(({ service }) => service === origin?.service);
  return isStillTarget ? origin?.service : state.targetRotation.next(route);
}

function countRequestsForOthers({ requests }: RouterState): number {
  let count = 0;
  for (const { origin } of requests.values()) {
    count += origin === null ? 0 : 1;
  }
  return count;
}

/** Returns how long a request may wait unread in its socket; null: the request has no route. */
export function maxReadDelay({ routes }: RouterState, host: string, target: string): Milliseconds | null {
  const route = routes.match(host, target);
  return route === undefined ? null : route.latencyObjective * MAX_READ_DELAY_FRACTION;
}

/** Refuses a request that can't be answered in time because this daemon's event loop is behind; another daemon may not be. */
function refuseAfterReadDelay(context: RouterContext, event: RequestArrivedEvent, route: Route): void {
  const { counters, random } = context.state;
  counters.refused_read_late += 1;
  const retryAfter =
    route.latencyObjective * (MIN_LATE_RETRY_FRACTION + LATE_RETRY_SPREAD_FRACTION * random.fraction());
  refuseBeforeAdmission(
    context,
    event,
    UNAVAILABLE,
    'it was read too late to be answered in time',
    retryAfter,
  );
}

function createRequest(
  context: RouterContext,
  event: RequestArrivedEvent,
  route: Route,
  service: string,
  key: number | null,
  readAt: Milliseconds,
): ActiveRequest {
  const { origin } = event;
  const receivedAt = readAt - event.readDelay;
  const arrivedAt = receivedAt - (origin?.age ?? 0);
  const timeout =
    Math.min(arrivedAt + route.timeout, receivedAt + (event.callerTimeout ?? route.timeout)) - arrivedAt;
  return {
    id: event.requestId,
    attemptId: event.attemptId,
    fingerprint: event.fingerprint,
    route,
    service,
    key,
    arrivedAt,
    readDelay: event.readDelay,
    turnAt: turnOf(context, service, event.fingerprint, arrivedAt),
    deadlineAt: arrivedAt + timeout,
    holdUntil: arrivedAt + Math.min(timeout, route.latencyObjective) * HOLD_FRACTION,
    origin,
    prepaidAttempts: origin?.attempts ?? 0,
    attempts: origin?.attempts ?? 0,
    attemptNumber: 0,
    server: null,
    proxy: null,
    triedProxies: [],
    attemptStartedAt: 0,
    dataAge: null,
    sentToFreeSlot: false,
    usedPermit: false,
    retryAt: 0,
    triedServers: [],
    rejectionsWithFreeSlots: 0,
    lostAttempts: 0,
    possibleCrashes: 0,
    execution: new RequestExecution(),
    attemptOutcomes: [],
  };
}

function refuseBeforeAdmission(
  context: RouterContext,
  event: RequestArrivedEvent,
  status: number,
  reason: string,
  retryAfter: Milliseconds | null,
): void {
  context.state.counters.refused += 1;
  const outcome = { execution: NO_ATTEMPT, attempts: event.origin?.attempts ?? 0, isPathLost: false };
  context.emit({ kind: 'answer', requestId: event.requestId, status, reason, retryAfter, ...outcome });
  const { attemptId, host, target } = event;
  const configuration = context.state.configuration?.version ?? null;
  const readDelay = event.readDelay >= 1 ? { read_delay: Math.round(event.readDelay) } : {};
  const fields = { attempt_id: attemptId, status, reason, host, target, configuration, ...readDelay };
  context.log('request_refused', fields);
}
