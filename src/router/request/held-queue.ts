/** Holds requests until a server has room for them, and refuses those that can't be held with a time at which to return. */
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RequestFingerprint } from '../model/request-fingerprint.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { blocks, compareRanks, HeldRequests, type OrderingTimes, rankOf } from './held-requests.js';
import { type LoadShedding, recordShedRequest } from './load-shedding.js';
import { MinimumShare } from './minimum-share.js';
import { RecentRefusals } from './recent-refusals.js';
import { endWithOwnAnswer } from './request-ending.js';
import { HELD_RETRY_INTERVAL, OVERLOAD_RETRY_AFTER } from './request-timing.js';
import { retryTime } from './retry-time.js';
import { lowestResponseTime, ownerOf, ownerResponseTime } from './service-room.js';

/** The lowest response time of a service is computed anew after this long: a surge refuses requests faster than the estimates change. */
const MAX_ESTIMATE_AGE: Milliseconds = 10;

/** The held requests of one service, with what their handling needs to remember. */
export interface HeldQueue {
  readonly requests: HeldRequests<ActiveRequest>;
  readonly share: MinimumShare;
  readonly shedding: LoadShedding;
  readonly refusals: RecentRefusals;
  /** Lowest expected response times of routes at the service's servers, by name, computed since `estimatedAt`. */
  readonly responseTimes: Map<string, Milliseconds>;
  estimatedAt: Milliseconds;
}

/** Why a request waits for room, and the shortest retry time for its caller. */
export interface RoomRefusal {
  readonly reason: string;
  readonly retryAfter: Milliseconds;
}

export const BEHIND_HELD: RoomRefusal = {
  reason: 'other requests wait for a server with room',
  retryAfter: OVERLOAD_RETRY_AFTER,
};

export function heldQueueOf({ state }: RouterContext, service: ServiceName): HeldQueue {
  let queue = state.heldQueues.get(service);
  if (queue === undefined) {
    queue = {
      requests: new HeldRequests(),
      share: new MinimumShare(),
      shedding: { refused: new Map(), nextLogAt: Number.NEGATIVE_INFINITY },
      refusals: new RecentRefusals(),
      responseTimes: new Map(),
      estimatedAt: Number.NEGATIVE_INFINITY,
    };
    state.heldQueues.set(service, queue);
  }
  return queue;
}

/** Returns the lowest expected response time of the servers that a request may go to. */
function responseTimeOf(context: RouterContext, request: ActiveRequest): Milliseconds {
  if (request.key !== null) {
    return ownerResponseTime(context, request);
  }
  const { service, route } = request;
  const queue = heldQueueOf(context, service);
  if (context.now - queue.estimatedAt >= MAX_ESTIMATE_AGE) {
    queue.responseTimes.clear();
    queue.estimatedAt = context.now;
  }
  let responseTime = queue.responseTimes.get(route.name);
  if (responseTime === undefined) {
    responseTime = lowestResponseTime(context, service, route);
    queue.responseTimes.set(route.name, responseTime);
  }
  return responseTime;
}

/** Returns the times by which held requests are ordered now. */
export function orderingTimes(context: RouterContext): OrderingTimes<ActiveRequest> {
  return { now: context.now, responseTimeOf: (request) => responseTimeOf(context, request) };
}

/**
 * Returns the time after which the caller of a request should return, at least `minimum` if callers honour that.
 *
 * @param hasRoom whether the request is refused for another reason than the want of room
 */
export function retryTimeOf(
  context: RouterContext,
  request: ActiveRequest,
  hasRoom: boolean,
  minimum: Milliseconds = OVERLOAD_RETRY_AFTER,
): Milliseconds {
  const { state, now } = context;
  return retryTime({
    responseTime: responseTimeOf(context, request),
    latencyObjective: request.route.latencyObjective,
    timeLeft: request.deadlineAt - now,
    minimum,
    hasRoom,
    fraction: state.random.fraction(),
  });
}

/** Returns whether a request may still be held: it is refused at a try after which its hold time would end before the next tick. */
export function canWait({ now }: RouterContext, { holdUntil }: ActiveRequest): boolean {
  return now + HELD_RETRY_INTERVAL <= holdUntil;
}

/** Returns whether a request says by its own wait that there is no room for others: it hasn't been sent to any server yet. */
export function isWaitGeneral({ triedServers }: ActiveRequest): boolean {
  return triedServers.length === 0;
}

/** Returns the held request that a request must not overtake; undefined: none. */
export function findRequestAhead(context: RouterContext, request: ActiveRequest): ActiveRequest | undefined {
  const held = context.state.heldQueues.get(request.service)?.requests;
  if (held === undefined || held.size === 0) {
    return undefined;
  }
  const owner = ownerOf(context, request);
  const times = orderingTimes(context);
  const rank = rankOf(request, times);
  for (const other of held.values()) {
    const canBlock = isWaitGeneral(other) && blocks(other, request) && ownerOf(context, other) === owner;
    if (canBlock && compareRanks(rankOf(other, times), rank) < 0) {
      return other;
    }
  }
  return undefined;
}

/** Returns the priority of the most urgent held request that waits for the same servers as a less urgent one; null: there is none. */
function moreUrgentPriority(context: RouterContext, request: ActiveRequest): number | null {
  const owner = ownerOf(context, request);
  let lowest = request.route.priority;
  for (const other of heldQueueOf(context, request.service).requests.values()) {
    if (other.route.priority < lowest && ownerOf(context, other) === owner) {
      lowest = other.route.priority;
    }
  }
  return lowest < request.route.priority ? lowest : null;
}

/** Refuses a request that no server has room for, with the time at which one is expected to have. */
export function refuseForRoom(
  context: RouterContext,
  request: ActiveRequest,
  { reason, retryAfter }: RoomRefusal,
): void {
  const { requests, shedding, refusals } = heldQueueOf(context, request.service);
  requests.remove(request);
  recordShedRequest(context, request, shedding, moreUrgentPriority(context, request));
  const wait = retryTimeOf(context, request, false, retryAfter);
  const isEarly = request.turnAt > request.arrivedAt;
  refusals.record(request.fingerprint.head, context.now + wait, isEarly, context.now);
  endWithOwnAnswer(context, request, reason, wait);
}

/** Returns the time from which an arriving request takes its turn among held ones: its arrival, or when its caller was told to return. */
export function turnOf(
  { state, now }: RouterContext,
  service: ServiceName,
  fingerprint: RequestFingerprint,
  arrivedAt: Milliseconds,
): Milliseconds {
  const refusals = state.heldQueues.get(service)?.refusals;
  // The fingerprint is computed on first use, which most requests never need.
  const returnAt =
    refusals === undefined || refusals.isEmpty(now) ? null : refusals.returnTime(fingerprint.head, now);
  return Math.max(arrivedAt, returnAt ?? arrivedAt);
}

/** Holds a request until a server may have room for it; refuses it if its hold time ends, or the least urgent one if too many are held. */
export function holdForRoom(context: RouterContext, request: ActiveRequest, refusal: RoomRefusal): void {
  if (!canWait(context, request)) {
    refuseForRoom(context, request, refusal);
    return;
  }
  // Dispatched with the other held requests, not at a time of its own.
  request.retryAt = Number.POSITIVE_INFINITY;
  const displaced = heldQueueOf(context, request.service).requests.add(request, orderingTimes(context));
  if (displaced !== null) {
    context.state.counters.held_displaced += displaced === request ? 0 : 1;
    refuseForRoom(context, displaced, {
      ...refusal,
      reason: 'too many requests wait for a server with room',
    });
  }
}

/** Returns how many requests of a service are at servers, in all and of routes less urgent than a priority. */
export function countAtServers(
  { state }: RouterContext,
  service: ServiceName,
  priority: number,
): { readonly all: number; readonly lessUrgent: number } {
  const counts = { all: 0, lessUrgent: 0 };
  for (const request of state.requests.values()) {
    if (request.server !== null && request.service === service) {
      counts.all += 1;
      counts.lessUrgent += request.route.priority > priority ? 1 : 0;
    }
  }
  return counts;
}

/** A request that found no room in a round, and the owner that it waits for. */
export interface RequestWithoutRoom {
  readonly request: ActiveRequest;
  readonly owner: ServerId | null;
}
