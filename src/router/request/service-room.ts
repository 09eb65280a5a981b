/** What the handling of held requests needs of the estimates of servers and of the load view. */
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import { loadViewOf } from '../load-view/load-view-of.js';
import type { ServiceLoadView } from '../load-view/load-view.js';
import type { Route } from '../model/configuration.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { countedSlots } from './counted-slots.js';

/** Returns the load view of a service. */
export function loadOf({ state, now }: RouterContext, service: ServiceName): ServiceLoadView {
  return loadViewOf(state, service, now);
}

/** Returns the owner of a request's key; null: the request has no key, or the key has no owner. */
export function ownerOf({ state }: RouterContext, { service, key }: ActiveRequest): ServerId | null {
  return key === null ? null : (state.ownershipView.unitOf(service, key)?.owner ?? null);
}

/** Returns the lowest expected response time of a route at the servers of a service that it may go to; infinite without one. */
export function lowestResponseTime(
  { state, now }: RouterContext,
  service: ServiceName,
  route: Route,
): Milliseconds {
  const mayUseReserved = state.serviceProfiles.get(service)?.reserved.allows(route.priority) ?? true;
  let lowest = Number.POSITIVE_INFINITY;
  for (const known of state.serversByService.get(service)?.values() ?? []) {
    const { load, drainingSince, backOff } = known;
    const isAllowed = mayUseReserved || !load.isReserved;
    if (isAllowed && drainingSince === null && backOff.left(now) === 0) {
      lowest = Math.min(lowest, load.balancedResponseTime(countedSlots(known), route, now));
    }
  }
  return lowest;
}

/** Returns the expected response time of the owner of a key; infinite without one. */
export function ownerResponseTime(context: RouterContext, request: ActiveRequest): Milliseconds {
  const owner = ownerOf(context, request);
  const known = owner === null ? undefined : context.state.servers.get(owner);
  return known === undefined
    ? Number.POSITIVE_INFINITY
    : known.load.expectedResponseTime(known.server.slots, context.now);
}
