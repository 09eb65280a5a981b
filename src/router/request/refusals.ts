/** Builds refusals of requests that no server may get now: whether to hold the request, and the answer for its caller otherwise. */
import { limitShareOf } from '../limits/permit-exchange.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ProxyCandidate } from '../proxying/proxy-candidate.js';
import type { KnownServer } from '../router-state.js';
import { reportOverload } from '../tree/reports.js';
import type { ActiveRequest } from './active-request.js';
import { OVERLOAD_RETRY_AFTER } from './request-timing.js';
import type { Ineligibility } from './server-eligibility.js';

/** Retry times of callers refused for a back-off or a rate limit are spread over this fraction of the wait, after its end. */
const RETRY_SPREAD_FRACTION = 0.25;
/** Minimum spread of the retry times for a rate limit, so that callers don't all come back for the next permit. */
const MIN_LIMIT_RETRY_SPREAD: Milliseconds = 200;
/** Upper bound of the wait announced to callers, before the spread is added; a server may ask for a back-off without an end. */
const MAX_RETRY_AFTER: Milliseconds = 3_600_000;
/** Time after which a caller should retry when the owner of its key can't be reached now. */
const OWNER_RETRY_AFTER: Milliseconds = 200;

/** Why no server may get a request now. */
export interface RoutingRefusal {
  readonly reason: string;
  /** Whether a server may be available if the request is held for a moment. */
  readonly canHold: boolean;
  /** Time after which the caller should retry. */
  readonly retryAfter: Milliseconds;
  /** Whether the request is held until a server has room; the retry time is then the shortest one, and the load decides on the rest. */
  readonly waitsForRoom: boolean;
  /** Server whose rate limit requires a permit for the request; null: no permit is needed. */
  readonly permitFrom: KnownServer | null;
  /** Whether a server's rate limit is the reason. */
  readonly isRateLimited: boolean;
  /** Whether this daemon has lost its path to the servers. */
  readonly isPathLost: boolean;
}

/** Returns whether a destination is a refusal instead of a server or a proxy. */
export function isRefusal(
  destination: KnownServer | ProxyCandidate | RoutingRefusal,
): destination is RoutingRefusal {
  return 'reason' in destination;
}

/** Returns a refusal for a reason other than a back-off or a rate limit. */
export function createRefusal(
  reason: string,
  canHold: boolean,
  retryAfter = OWNER_RETRY_AFTER,
): RoutingRefusal {
  const conditions = { permitFrom: null, isRateLimited: false, isPathLost: false, waitsForRoom: false };
  return { reason, canHold, retryAfter, ...conditions };
}

/** Returns a refusal for a condition that ends soon, but not with room at a server. */
export function createTransientRefusal(reason: string): RoutingRefusal {
  return createRefusal(reason, true, OVERLOAD_RETRY_AFTER);
}

/** Returns a refusal because no server has room. */
export function createRoomRefusal(reason: string): RoutingRefusal {
  return { ...createTransientRefusal(reason), waitsForRoom: true };
}

/** Returns a refusal that lasts for `left`: the request is held only if that ends in time, else refused at once with a retry time. */
function createTimedRefusal(
  { now, state }: RouterContext,
  request: ActiveRequest,
  reason: string,
  left: Milliseconds,
  minSpread: Milliseconds,
): RoutingRefusal {
  const retryTime = Math.min(left, MAX_RETRY_AFTER);
  const spread = Math.max(retryTime * RETRY_SPREAD_FRACTION, minSpread);
  return createRefusal(reason, now + left <= request.holdUntil, retryTime + spread * state.random.fraction());
}

/** Returns a refusal for a back-off that has `left` to go. */
export function createBackoffRefusal(
  context: RouterContext,
  request: ActiveRequest,
  reason: string,
  left: Milliseconds,
): RoutingRefusal {
  return createTimedRefusal(context, request, reason, left, 0);
}

/** Returns a refusal for a rate limit that leaves no permit for the time `left`. */
export function createLimitRefusal(
  context: RouterContext,
  request: ActiveRequest,
  reason: string,
  left: Milliseconds,
): RoutingRefusal {
  return {
    ...createTimedRefusal(context, request, reason, left, MIN_LIMIT_RETRY_SPREAD),
    isRateLimited: true,
  };
}

/** Returns a refusal that holds the request until a permit for the server's rate limit arrives. */
export function createPermitRefusal(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer,
): RoutingRefusal {
  const left = timeUntilPermit(context, request, known);
  const reason = `no permit has come in time for ${known.server.id}, which names a limit`;
  return { ...createLimitRefusal(context, request, reason, left), canHold: true, permitFrom: known };
}

/** Returns the time until a server's rate limit is expected to leave a permit for a request; 0: no limit, or no wait. */
export function timeUntilPermit(
  { state, now }: RouterContext,
  request: ActiveRequest,
  { server, permits }: KnownServer,
): Milliseconds {
  const share = limitShareOf(state, server.id);
  return share === null ? 0 : permits.timeUntilPermission(request.route.priority, share, now);
}

/** Returns a refusal because an owner is at capacity, and records the overload. */
export function createOverloadRefusal(context: RouterContext, { server }: KnownServer): RoutingRefusal {
  reportOverload(context);
  return createRoomRefusal(`the owner ${server.id} is full`);
}

/** Returns the refusal for an owner of a key that may not get the request now. */
export function createOwnerRefusal(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer,
  ineligibility: Ineligibility,
): RoutingRefusal {
  const { now, state } = context;
  const { server, backOff, coldUntil, drainingSince } = known;
  const owner = `the owner ${server.id}`;
  switch (ineligibility) {
    case 'draining':
      // Keys that haven't moved within the drain bound wait for the store, so their requests aren't held.
      return createRefusal(`${owner} is leaving`, now - (drainingSince ?? now) <= state.bounds.drain);
    case 'evacuated':
      return createRefusal(`the zone of ${owner} is evacuated`, true);
    case 'backing_off':
      return createBackoffRefusal(context, request, `${owner} wants rest`, backOff.left(now));
    case 'recovering':
      return createRoomRefusal(`${owner} takes one request at a time after its rest`);
    case 'cold': {
      const retryAfter = Math.max(OWNER_RETRY_AFTER, coldUntil - now);
      return createRefusal(`${owner} is cold and takes few requests`, false, retryAfter);
    }
    case 'unresponsive':
      return createRefusal(`${owner} is silent`, false);
    case 'out_of_reach':
      return createRefusal(`${owner} is out of reach`, false);
    case 'failing':
      return createRefusal(`${owner} fails`, true);
    case 'overloaded':
      return createOverloadRefusal(context, known);
    case 'at_limit': {
      reportOverload(context);
      const reason = `the limit of ${owner} leaves no place in time`;
      const left = timeUntilPermit(context, request, known);
      return { ...createLimitRefusal(context, request, reason, left), canHold: false };
    }
    case 'awaits_permit':
      return createPermitRefusal(context, request, known);
  }
}
