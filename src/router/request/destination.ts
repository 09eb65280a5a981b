/** Finds the server for a request: the owner of its key, or else the server that is expected to answer first. */
import { limitShareOf } from '../limits/permit-exchange.js';
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { equalPart } from '../sharing/equal-part.js';
import type { ActiveRequest } from './active-request.js';
import { coldInterval } from './cold-admission.js';
import {
  awaitPermit,
  type NoDestination,
  ownerRefusal,
  refuse,
  refuseForLimit,
  refuseForNow,
  refuseForRest,
  refuseFull,
  untilPlace,
} from './refusals.js';
import { closedGate, type GateTerms } from './server-gates.js';
import { selectServer, type SelectionContext } from './server-selection.js';

/** Requests that may wait at a server for each of its slots before the server counts as at capacity. */
const WAITING_PER_SLOT = 3;
/** A request is not sent to a server without a free slot where it is expected to take more than this fraction of its latency objective. */
const USEFUL_PART = 0.95;
/** Fraction of a server's connection limit that all daemons together use. */
const CONNECTION_PART = 0.9;
/**
 * Fraction of the allowed time for which requests still go to a draining server, or to an owner of keys in an evacuated zone, while its keys
 * move. The remainder is for connections that are slow to open, so that no request arrives after the allowed time.
 */
const LEAVING_PART = 0.5;
/** Requests for a key can go to no other server, and a single failure may be accidental: an owner is skipped only after two. */
const OWNER_FORGIVEN_FAILURES = 2;

/** Returns the maximum number of this daemon's requests in flight at one server: each takes one of the connections that the server accepts. */
function mostInFlight(context: RouterContext, service: ServiceName): number {
  const { configuration, daemons } = context.state;
  const limit = configuration?.services.get(service)?.connectionLimit ?? Number.POSITIVE_INFINITY;
  return Math.max(1, Math.floor(equalPart(limit * CONNECTION_PART, daemons)));
}

/** Returns the time between two turns of this daemon at a cold server of a service; null: requests to cold servers are not bounded. */
function coldIntervalOf(context: RouterContext, service: ServiceName): Milliseconds | null {
  const { configuration, daemons, bounds } = context.state;
  const rate = configuration?.services.get(service)?.coldRequestRate ?? 0;
  if (bounds.coldStart === null || rate === 0) {
    return null;
  }
  return coldInterval(rate * bounds.coldStart.factor + bounds.coldStart.slack, daemons);
}

function hasNoLimit(): null {
  return null;
}

/** Returns the inputs of the eligibility checks for balanced servers, whose requests other servers can take. */
function gateTerms(context: RouterContext, request: ActiveRequest): GateTerms {
  const { id, service, route, holdUntil } = request;
  return {
    now: context.now,
    evacuations: context.state.evacuations,
    drainingGrace: 0,
    evacuationGrace: 0,
    toleratedFailures: 0,
    coldInterval: coldIntervalOf(context, service),
    maxInFlight: mostInFlight(context, service),
    shareOf: context.state.limits.isEmpty ? hasNoLimit : (server) => limitShareOf(context.state, server),
    seeker: { id, priority: route.priority, holdUntil },
  };
}

/** Returns the inputs of the checks for an owner of keys, which still gets requests for part of the allowed time while its keys move. */
function ownerTerms(context: RouterContext, request: ActiveRequest): GateTerms {
  const { drain, evacuation } = context.state.bounds;
  return {
    ...gateTerms(context, request),
    drainingGrace: drain * LEAVING_PART,
    evacuationGrace: (evacuation ?? 0) * LEAVING_PART,
    toleratedFailures: OWNER_FORGIVEN_FAILURES,
  };
}

/** Returns whether a server would shed a new request, or answer it too late for its latency objective. */
function isFull({ now }: RouterContext, { load, server }: KnownServer, request: ActiveRequest): boolean {
  const estimatedInFlight = load.busy(now);
  if (estimatedInFlight < server.slots) {
    return false;
  }
  const isLate = load.expectedTime(server.slots, now) > request.route.latencyObjective * USEFUL_PART;
  return isLate || estimatedInFlight >= server.slots * (1 + WAITING_PER_SLOT);
}

/** Returns the owner of a key, or a refusal while this daemon doesn't know that the owner holds the key. */
function holderOf(context: RouterContext, service: ServiceName, key: number): KnownServer | NoDestination {
  const { view, servers, doubtedUnits } = context.state;
  const unit = view.unitOf(service, key);
  if (unit === undefined) {
    return refuse('the key has no owner', true);
  }
  if (!unit.granted) {
    return refuse(`the key is on its way to ${unit.owner}`, true);
  }
  if (doubtedUnits.has(unit.fence, context.now)) {
    return refuse(`the owner ${unit.owner} does not hold the key yet`, true);
  }
  return servers.get(unit.owner) ?? refuse(`the owner ${unit.owner} is not listed`, true);
}

function ownerOf(context: RouterContext, request: ActiveRequest, key: number): KnownServer | NoDestination {
  const known = holderOf(context, request.service, key);
  if ('reason' in known) {
    return known;
  }
  const { window, inFlight } = known.load;
  const ineligibility = closedGate(known, ownerTerms(context, request));
  const isEligible = ineligibility === null || ineligibility === 'awaits_permit';
  const hasCapacity = window.allows(inFlight.size, context.now) && !isFull(context, known, request);
  if (isEligible && !hasCapacity) {
    return refuseFull(context, known);
  }
  return ineligibility === null ? known : ownerRefusal(context, request, known, ineligibility);
}

/** Selects a server that isn't draining; while all servers of a service drain at once, one that began to drain a short time ago. */
function chooseServer(
  candidates: ReadonlyMap<ServerId, KnownServer>,
  selection: SelectionContext,
  drain: Milliseconds,
): KnownServer | undefined {
  const chosen = selectServer(candidates.values(), selection);
  const areAllDraining = chosen === undefined && [...candidates.values()].every(isLeaving);
  return areAllDraining
    ? selectServer(candidates.values(), { ...selection, drainingGrace: drain * LEAVING_PART })
    : chosen;
}

function isLeaving({ drainingSince }: KnownServer): boolean {
  return drainingSince !== null;
}

/** Returns the refusal when no server may get a request; while all servers are backing off or at their limits, it includes the wait. */
function noServer(context: RouterContext, request: ActiveRequest): NoDestination {
  const { serversByService, evacuations } = context.state;
  const remaining = [...(serversByService.get(request.service)?.values() ?? [])].filter(
    (known) => !isLeaving(known),
  );
  const waits = remaining.map((known) => ({
    backoff: known.rest.left(context.now),
    permit: untilPlace(context, request, known),
  }));
  const left = Math.min(...waits.map(({ backoff, permit }) => Math.max(backoff, permit)));
  if (remaining.length > 0 && left > 0) {
    return waits.every(({ backoff }) => backoff > 0)
      ? refuseForRest(context, request, 'every server wants rest', left)
      : refuseForLimit(context, request, 'every server is at its limit, or wants rest', left);
  }
  return refuseForNow(
    evacuations.isEmpty ? 'no server takes requests' : 'no server outside of evacuated zones takes requests',
  );
}

function anyServer(context: RouterContext, request: ActiveRequest): KnownServer | NoDestination {
  const { serversByService, identity, random, bounds } = context.state;
  const candidates = serversByService.get(request.service);
  const selection = {
    ...gateTerms(context, request),
    latencyObjective: request.route.latencyObjective,
    zone: identity.zone,
    random,
    tried: request.tried,
  };
  const chosen = candidates === undefined ? undefined : chooseServer(candidates, selection, bounds.drain);
  if (chosen === undefined) {
    return noServer(context, request);
  }
  if (isFull(context, chosen, request)) {
    return refuseForNow('every server is full');
  }
  const ineligibility = closedGate(chosen, { ...selection, drainingGrace: Number.POSITIVE_INFINITY });
  return ineligibility === 'awaits_permit' ? awaitPermit(context, request, chosen) : chosen;
}

/** Returns the server that a request goes to now, or why no server may get it. */
export function findDestination(context: RouterContext, request: ActiveRequest): KnownServer | NoDestination {
  return request.key === null ? anyServer(context, request) : ownerOf(context, request, request.key);
}
