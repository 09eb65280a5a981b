/**
 * Admission of requests to a server: the limit on this router's requests in flight there, and a short queue
 * ordered by priority. When the queue is full, the last request of the lowest priority is shed immediately.
 */
import type { ServerConfiguration } from '../configuration/routing-configuration.js';
import type { ActiveRequest, ServerLoad } from './request-state.js';

/**
 * Requests in flight for each request that a server runs concurrently: one runs, the others cover the network
 * round trip.
 */
const IN_FLIGHT_PER_CONCURRENT_REQUEST = 4;
/** Maximum number of queued requests for each request that may be in flight. */
const QUEUED_PER_IN_FLIGHT_REQUEST = 4;

const PRIORITY_RANK = { high: 0, normal: 1, low: 2 } as const;

/**
 * Returns the number of requests that one router may have in flight at a server, whose connections are shared
 * by all daemons.
 */
export function inFlightLimit(server: ServerConfiguration, daemons: number): number {
  const share = Math.floor(server.connections / Math.max(1, daemons));
  return Math.max(1, Math.min(share, server.concurrency * IN_FLIGHT_PER_CONCURRENT_REQUEST));
}

function priorityRank(request: ActiveRequest): number {
  return PRIORITY_RANK[request.route.priority];
}

/**
 * Adds a request to a server's queue behind all requests of the same or a higher priority. Returns the request
 * that must be shed because the queue is too long, possibly the new one, or undefined.
 */
export function enqueue(load: ServerLoad, request: ActiveRequest, limit: number): ActiveRequest | undefined {
  const rank = priorityRank(request);
  const position = load.queue.findIndex((queued) => priorityRank(queued) > rank);
  load.queue.splice(position < 0 ? load.queue.length : position, 0, request);
  return load.queue.length > limit * QUEUED_PER_IN_FLIGHT_REQUEST ? load.queue.pop() : undefined;
}
