/**
 * Rounds in which the held requests of a service are dispatched, most urgent first. A round stops at a request that finds no room: it is
 * dispatched again when something may have changed. At most two requests of each route and owner are tried in vain, one of them sent before,
 * so the work of a round does not grow with the number of held requests.
 */
import type { PeerMessageEvent, RouterEvent } from '../events.js';
import type { ServiceName } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { blocks } from './held-requests.js';
import {
  BEHIND_HELD,
  canWait,
  countAtServers,
  type HeldQueue,
  isWaitGeneral,
  orderingTimes,
  refuseForRoom,
  type RequestWithoutRoom,
} from './held-queue.js';
import { dispatchFirst } from './request-dispatch.js';
import { ownerOf } from './service-room.js';

/** Events and messages with news of servers, of the load view, of ownership or of rate limits. */
const EVENTS_THAT_MAKE_ROOM: ReadonlySet<RouterEvent['kind']> = new Set([
  'serversListed',
  'serversChanged',
  'evacuationsListed',
  'evacuationsChanged',
  'objectRead',
]);
const MESSAGES_THAT_MAKE_ROOM: ReadonlySet<PeerMessageEvent['message']['kind']> = new Set([
  'heartbeat',
  'ownership',
  'serverNews',
  'permitAnswer',
]);

/** Dispatches the held requests of a service. */
function dispatchHeldRequests(context: RouterContext, service: ServiceName): void {
  const queue = context.state.heldQueues.get(service);
  if (queue === undefined || queue.requests.size === 0) {
    return;
  }
  const withoutRoom: RequestWithoutRoom[] = [];
  let hasOvertaken = false;
  for (const request of queue.requests.inOrder(orderingTimes(context))) {
    const requestOwner = ownerOf(context, request);
    if (!queue.requests.has(request)) {
      continue;
    }
    const blocking = withoutRoom.find(
      (other) => other.owner === requestOwner && isBlockedBy(request, other.request),
    );
    const overtakes =
      blocking !== undefined && !hasOvertaken && mayOvertake(context, queue, blocking.request, request);
    if (blocking !== undefined && !overtakes) {
      refuseIfOverdue(context, request);
      continue;
    }
    const hasRoom = dispatchFirst(context, request);
    if (!hasRoom) {
      withoutRoom.push({ request, owner: requestOwner });
    }
    if (overtakes) {
      hasOvertaken = true;
      recordOvertaking(queue, request);
    }
  }
}

/**
 * Returns whether a request has to wait for another one that found no room. That a request found none which must go to a server where it
 * has not been says something only about others like it.
 */
function isBlockedBy(request: ActiveRequest, withoutRoom: ActiveRequest): boolean {
  return blocks(withoutRoom, request) && (isWaitGeneral(withoutRoom) || !isWaitGeneral(request));
}

/** Returns whether a request is tried although a more urgent one waits, since its route has not had its minimum share of the capacity. */
function mayOvertake(
  { state }: RouterContext,
  { share }: HeldQueue,
  blocking: ActiveRequest,
  request: ActiveRequest,
): boolean {
  const workTime = state.serviceProfiles.get(request.service)?.mean ?? 0;
  return blocking.route.priority < request.route.priority && share.allowsSend(workTime);
}

function recordOvertaking({ share }: HeldQueue, request: ActiveRequest): void {
  if (request.server !== null) {
    share.recordSend();
  }
}

function refuseIfOverdue(context: RouterContext, request: ActiveRequest): void {
  if (!canWait(context, request)) {
    refuseForRoom(context, request, BEHIND_HELD);
  }
}

/**
 * Dispatches held requests after the end of an attempt. Those for keys wait for the tick: the window of an owner is then full at some moments
 * only, and other daemons get their share. Filled again at once, owners at capacity answered 0.216 instead of 0.223 of the requests in the
 * simulation of a hot request whose owners crash (32 seeds).
 */
export function dispatchHeldAfterAttempt(context: RouterContext, { service, key }: ActiveRequest): void {
  if (key === null) {
    dispatchHeldRequests(context, service);
  }
}

/** Dispatches the held requests of all services: on a tick, and after news that may concern any of them. */
export function dispatchAllHeldRequests(context: RouterContext): void {
  for (const service of context.state.heldQueues.keys()) {
    dispatchHeldRequests(context, service);
  }
}

/** Dispatches held requests after an event with news that may concern the servers of any service. */
export function dispatchHeldAfterNews(context: RouterContext, event: RouterEvent): void {
  if (mayMakeRoom(event)) {
    dispatchAllHeldRequests(context);
  }
}

/** Returns whether an event may make room at servers of any service. */
function mayMakeRoom(event: RouterEvent): boolean {
  return event.kind === 'peerMessage'
    ? MESSAGES_THAT_MAKE_ROOM.has(event.message.kind)
    : EVENTS_THAT_MAKE_ROOM.has(event.kind);
}

/** Updates the minimum share of the less urgent requests of each service that wait for more urgent ones. */
export function updateMinimumShares(context: RouterContext): void {
  for (const [service, { requests, share }] of context.state.heldQueues) {
    const priorities = [...requests.values()].map(({ route }) => route.priority);
    const mostUrgent = Math.min(...priorities);
    if (priorities.some((priority) => priority > mostUrgent)) {
      const { all, lessUrgent } = countAtServers(context, service, mostUrgent);
      share.update(lessUrgent, all, context.now);
    }
  }
}
