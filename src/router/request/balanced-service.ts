/** Updates what the choice among a balanced service's servers depends on: the mean loads, and the set of reserved servers. */
import { loadViewOf } from '../load-view/load-view-of.js';
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from './active-request.js';
import type { CandidateServer } from './server-eligibility.js';
import type { ServiceProfile } from './service-profile.js';

/** Time between two updates. A surge is acted on within half a second, and the cost of an update is spread over many requests. */
const REFRESH_INTERVAL: Milliseconds = 50;

/** Returns the profile of a request's service with recent loads and reserved servers; undefined: no server of it was ever known. */
export function refreshBalancedService(
  context: RouterContext,
  { service, route }: ActiveRequest,
): ServiceProfile | undefined {
  const { state, now } = context;
  const profile = state.serviceProfiles.get(service);
  const servers = state.serversByService.get(service);
  if (profile === undefined || servers === undefined) {
    return undefined;
  }
  profile.recordDemand(route, now);
  if (profile.isRefreshDue(state.serversRevision, now)) {
    profile.nextRefreshAt = now + REFRESH_INTERVAL;
    profile.refreshedRevision = state.serversRevision;
    refresh(context, profile, service, servers);
  }
  return profile;
}

function refresh(
  { state, now }: RouterContext,
  profile: ServiceProfile,
  service: ServiceName,
  servers: ReadonlyMap<ServerId, KnownServer>,
): void {
  const view = loadViewOf(state, service, now);
  profile.groups.update(view, state.daemons, profile.mean, now);
  const isUsable = ({ server, drainingSince, coldUntil }: CandidateServer): boolean =>
    drainingSince === null && coldUntil <= now && state.evacuations.age(server.zone, now) === null;
  profile.reserved.update(view, servers, state.serversRevision, isUsable, now);
}

/** Returns the log fields that tell why a request was refused: its priority, and the mean loads of a balanced service's server groups. */
export function refusalFields({ state }: RouterContext, request: ActiveRequest): Record<string, number> {
  const { priority } = request.route;
  const groups = request.key === null ? state.serviceProfiles.get(request.service)?.groups : undefined;
  if (groups === undefined) {
    return { priority };
  }
  return {
    priority,
    reserved_mean_load: roundLoad(groups.otherRequests(true)),
    shared_mean_load: roundLoad(groups.otherRequests(false)),
  };
}

function roundLoad(load: number): number {
  return Math.round(load * 10) / 10;
}
