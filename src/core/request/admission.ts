/**
 * Admission to a server: how many requests this router may have there at once, and the short queue before
 * it. Urgent classes go first; when the queue is full the least urgent request is shed, early.
 */
import type { ServerConfiguration } from '../configuration/routing-configuration.js';
import type { ActiveRequest, ServerLoad } from './request-state.js';

/** Requests in flight for each slot of a server: one runs, the others cover the way there and back. */
const IN_FLIGHT_PER_SLOT = 4;
/** Queued requests for each request that may be in flight. */
const QUEUE_FACTOR = 4;

const PRIORITY_RANK = { high: 0, normal: 1, low: 2 } as const;

/** How many requests one router may have in flight at a server; the connections are shared by all daemons. */
export function inFlightLimit(server: ServerConfiguration, daemons: number): number {
  const share = Math.floor(server.connections / Math.max(1, daemons));
  return Math.max(1, Math.min(share, server.concurrency * IN_FLIGHT_PER_SLOT));
}

function rankOf(request: ActiveRequest): number {
  return PRIORITY_RANK[request.route.priority];
}

/**
 * Puts a request in a server's queue behind all that are as urgent. Returns the request that must be shed
 * to keep the queue short, which may be the new one, or undefined.
 */
export function enqueue(load: ServerLoad, request: ActiveRequest, limit: number): ActiveRequest | undefined {
  const rank = rankOf(request);
  const position = load.queue.findIndex((queued) => rankOf(queued) > rank);
  load.queue.splice(position < 0 ? load.queue.length : position, 0, request);
  return load.queue.length > limit * QUEUE_FACTOR ? load.queue.pop() : undefined;
}
