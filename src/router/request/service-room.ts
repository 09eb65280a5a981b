/** What the handling of held requests needs of the estimates of servers and of the load view. */
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import { type ServiceLoadView, UNKNOWN_LOAD } from '../load-view/load-view.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from './active-request.js';

/** Returns the load view of a service. */
export const loadOf: (context: RouterContext, service: ServiceName) => ServiceLoadView = () => UNKNOWN_LOAD;

/** Returns the expected time until a new request at a server is answered. */
function responseTimeAt({ load, server }: KnownServer, now: Milliseconds): Milliseconds {
  return load.expectedResponseTime(server.slots, now);
}

/** Returns the owner of a request's key; null: the request has no key, or the key has no owner. */
export function ownerOf({ state }: RouterContext, { service, key }: ActiveRequest): ServerId | null {
  return key === null ? null : (state.ownershipView.unitOf(service, key)?.owner ?? null);
}

/** Returns the lowest expected response time of the servers of a service that may get requests; infinite without one. */
export function lowestResponseTime({ state, now }: RouterContext, service: ServiceName): Milliseconds {
  let lowest = Number.POSITIVE_INFINITY;
  for (const known of state.serversByService.get(service)?.values() ?? []) {
    if (known.drainingSince === null && known.backOff.left(now) === 0) {
      lowest = Math.min(lowest, responseTimeAt(known, now));
    }
  }
  return lowest;
}

/** Returns the expected response time of the owner of a key; infinite without one. */
export function ownerResponseTime(context: RouterContext, request: ActiveRequest): Milliseconds {
  const owner = ownerOf(context, request);
  const known = owner === null ? undefined : context.state.servers.get(owner);
  return known === undefined ? Number.POSITIVE_INFINITY : responseTimeAt(known, context.now);
}
