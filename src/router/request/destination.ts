/** Finds the server for a request: the owner of its key, or else the server that is expected to answer first. */
import { limitShareOf } from '../limits/permit-exchange.js';
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import { areEvacuationsUsable, isStoreDataUsable } from '../news/store-confirmation.js';
import { maxDataAge } from '../news/store-watch-timing.js';
import { requestServerCheck } from '../reachability/path-checks.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { equalShare } from '../sharing/equal-share.js';
import type { ActiveRequest } from './active-request.js';
import { refreshBalancedService } from './balanced-service.js';
import { coldSendInterval } from './cold-admission.js';
import {
  createPermitRefusal,
  type RoutingRefusal,
  createOwnerRefusal,
  createRefusal,
  createLimitRefusal,
  createRoomRefusal,
  createTransientRefusal,
  createBackoffRefusal,
  createOverloadRefusal,
  timeUntilPermit,
} from './refusals.js';
import { findIneligibility, type EligibilityContext } from './server-eligibility.js';
import {
  MAX_EXPECTED_TIME_FRACTION,
  MAX_WAITING_PER_SLOT,
  selectServer,
  type Selection,
  type SelectionContext,
} from './server-selection.js';

/** Fraction of a server's connection limit that all daemons together use. */
const USED_CONNECTION_FRACTION = 0.9;
/** Fraction of the allowed time for which requests still go to an owner of keys in an evacuated zone while its keys move. */
const EVACUATION_GRACE_FRACTION = 0.5;
/** Requests for a key can go to no other server, and a single failure may be accidental: an owner is skipped only after two. */
const OWNER_TOLERATED_FAILURES = 2;

/** Returns the maximum number of this daemon's requests in flight at one server: each takes one of the connections that the server accepts. */
function maxInFlightPerServer(context: RouterContext, service: ServiceName): number {
  const { configuration, daemons, pathlessDaemons } = context.state;
  const limit = configuration?.services.get(service)?.connectionLimit ?? Number.POSITIVE_INFINITY;
  // Daemons without a path leave their share to those that carry their requests.
  const sharing = Math.max(1, daemons - pathlessDaemons);
  return Math.max(1, Math.floor(equalShare(limit * USED_CONNECTION_FRACTION, sharing)));
}

/** Returns the time between two send windows of this daemon at a cold server of a service; null: requests to cold servers are not bounded. */
function coldIntervalOf(context: RouterContext, service: ServiceName): Milliseconds | null {
  const { configuration, daemons, bounds } = context.state;
  const rate = configuration?.services.get(service)?.coldRequestRate ?? 0;
  if (bounds.coldStart === null || rate === 0) {
    return null;
  }
  return coldSendInterval(rate * bounds.coldStart.factor + bounds.coldStart.slack, daemons);
}

function withoutLimit(): null {
  return null;
}

/** Returns the inputs of the eligibility checks for balanced servers, whose requests other servers can take. */
function balancedEligibilityContext(context: RouterContext, request: ActiveRequest): EligibilityContext {
  const { id, service, route, holdUntil } = request;
  return {
    now: context.now,
    evacuations: context.state.evacuations,
    drainingGrace: 0,
    evacuationGrace: 0,
    toleratedFailures: 0,
    coldInterval: coldIntervalOf(context, service),
    maxInFlight: maxInFlightPerServer(context, service),
    shareOf: context.state.limits.isEmpty ? withoutLimit : (server) => limitShareOf(context.state, server),
    seeker: { id, priority: route.priority, holdUntil },
  };
}

/** Returns the inputs of the checks for an owner of keys, which still gets requests for part of the allowed time while its keys move. */
function ownerEligibilityContext(context: RouterContext, request: ActiveRequest): EligibilityContext {
  const { drain, evacuation } = context.state.bounds;
  return {
    ...balancedEligibilityContext(context, request),
    drainingGrace: maxDataAge(drain),
    evacuationGrace: (evacuation ?? 0) * EVACUATION_GRACE_FRACTION,
    toleratedFailures: OWNER_TOLERATED_FAILURES,
  };
}

/** Returns whether an owner of keys would shed a new request, or answer it too late for its latency objective. */
function isAtCapacity(
  { now }: RouterContext,
  { load, server }: KnownServer,
  request: ActiveRequest,
): boolean {
  const estimatedInFlight = load.estimatedInFlight(now);
  if (estimatedInFlight < server.slots) {
    return false;
  }
  const isLate =
    load.expectedResponseTime(server.slots, now) >
    request.route.latencyObjective * MAX_EXPECTED_TIME_FRACTION;
  return isLate || estimatedInFlight >= server.slots * (1 + MAX_WAITING_PER_SLOT);
}

/** Returns whether a request would make more urgent routes late at an owner of keys, whose queue runs in order of arrival. */
function delaysMoreUrgent(
  { state, now }: RouterContext,
  known: KnownServer,
  request: ActiveRequest,
): boolean {
  const profile = state.serviceProfiles.get(request.service);
  const wait = known.load.waitBehindNext(known.server.slots, now);
  return profile !== undefined && wait > profile.maxWaitForMoreUrgent(request.route.priority, now);
}

/** Returns the owner of a key, or a refusal while this daemon doesn't know that the owner holds the key. */
function findOwner(context: RouterContext, service: ServiceName, key: number): KnownServer | RoutingRefusal {
  const { ownershipView, servers, recentlyRejectedUnits } = context.state;
  const unit = ownershipView.unitOf(service, key);
  if (unit === undefined) {
    return createRefusal('the key has no owner', true);
  }
  if (!unit.granted) {
    return createRefusal(`the key is on its way to ${unit.owner}`, true);
  }
  if (recentlyRejectedUnits.has(unit.fence, context.now)) {
    return createRefusal(`the owner ${unit.owner} does not hold the key yet`, true);
  }
  return servers.get(unit.owner) ?? createRefusal(`the owner ${unit.owner} is not listed`, true);
}

function selectOwner(
  context: RouterContext,
  request: ActiveRequest,
  key: number,
): KnownServer | RoutingRefusal {
  const known = findOwner(context, request.service, key);
  if ('reason' in known) {
    return known;
  }
  context.state.serviceProfiles.get(request.service)?.recordDemand(request.route, context.now);
  const { window, inFlight } = known.load;
  const ineligibility = findIneligibility(known, ownerEligibilityContext(context, request));
  const isEligible = ineligibility === null || ineligibility === 'awaits_permit';
  const hasCapacity = window.allows(inFlight.size, context.now) && !isAtCapacity(context, known, request);
  if (ineligibility === 'failing' || ineligibility === 'unresponsive') {
    requestServerCheck(context, known);
  }
  if (isEligible && !hasCapacity) {
    return createOverloadRefusal(context, known);
  }
  if (isEligible && delaysMoreUrgent(context, known, request)) {
    return createTransientRefusal(`the owner ${known.server.id} has room for more urgent requests only`);
  }
  return ineligibility === null ? known : createOwnerRefusal(context, request, known, ineligibility);
}

/** Selects a server that isn't draining; while all servers of a service drain at once, one that began to drain a short time ago. */
function selectServerOrDraining(
  candidates: ReadonlyMap<ServerId, KnownServer>,
  selection: SelectionContext,
  drain: Milliseconds,
): Selection<KnownServer> {
  const chosen = selectServer(candidates.values(), selection);
  const areAllDraining = chosen.kind === 'none' && [...candidates.values()].every(isDraining);
  return areAllDraining
    ? selectServer(candidates.values(), { ...selection, drainingGrace: maxDataAge(drain) })
    : chosen;
}

function isDraining({ drainingSince }: KnownServer): boolean {
  return drainingSince !== null;
}

/** Returns the refusal when no server may get a request; while all servers are backing off or at their limits, it includes the wait. */
function refuseWithoutServer(context: RouterContext, request: ActiveRequest): RoutingRefusal {
  const { serversByService, evacuations } = context.state;
  const remaining = [...(serversByService.get(request.service)?.values() ?? [])].filter(
    (known) => !isDraining(known),
  );
  const waits = remaining.map((known) => ({
    backoff: known.backOff.left(context.now),
    permit: timeUntilPermit(context, request, known),
  }));
  const left = Math.min(...waits.map(({ backoff, permit }) => Math.max(backoff, permit)));
  if (remaining.length > 0 && left > 0) {
    return waits.every(({ backoff }) => backoff > 0)
      ? createBackoffRefusal(context, request, 'every server wants rest', left)
      : createLimitRefusal(context, request, 'every server is at its limit, or wants rest', left);
  }
  return createRoomRefusal(
    evacuations.isEmpty ? 'no server takes requests' : 'no server outside of evacuated zones takes requests',
  );
}

function selectBalancedServer(context: RouterContext, request: ActiveRequest): KnownServer | RoutingRefusal {
  const { serversByService, identity, random, bounds } = context.state;
  const candidates = serversByService.get(request.service);
  const profile = refreshBalancedService(context, request);
  if (candidates === undefined || profile === undefined) {
    return refuseWithoutServer(context, request);
  }
  const { route } = request;
  const selection = {
    ...balancedEligibilityContext(context, request),
    route,
    workTime: profile.workTime(route),
    mayUseReserved: profile.reserved.allows(route.priority),
    maxWaitBehind: profile.maxWaitBehind(route.priority, context.now),
    zone: identity.zone,
    random,
    tried: request.triedServers,
  };
  const chosen = selectServerOrDraining(candidates, selection, bounds.drain);
  switch (chosen.kind) {
    case 'none':
      return refuseWithoutServer(context, request);
    case 'full':
      return createRoomRefusal('every server is full');
    case 'selected': {
      const { server } = chosen;
      const drainingGrace = Number.POSITIVE_INFINITY;
      const ineligibility = findIneligibility(server, { ...selection, drainingGrace });
      return ineligibility === 'awaits_permit' ? createPermitRefusal(context, request, server) : server;
    }
  }
}

/** Returns the server that a request goes to now, or why no server may get it. */
export function findDestination(
  context: RouterContext,
  request: ActiveRequest,
): KnownServer | RoutingRefusal {
  const { state, now } = context;
  if (!isStoreDataUsable(state, now, state.bounds.drain) || !areEvacuationsUsable(state, now)) {
    state.counters.requests_unconfirmed += 1;
    return createTransientRefusal('the list of servers is not confirmed');
  }
  return request.key === null
    ? selectBalancedServer(context, request)
    : selectOwner(context, request, request.key);
}
