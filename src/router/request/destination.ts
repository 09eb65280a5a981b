/** Where a request goes now: to the owner of its key, or to the server that should answer first. */
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

/** Requests that may wait at a server for each of its slots before it counts as full. */
const WAITING_PER_SLOT = 3;
/** A request is not sent where it would take more than this part of its latency objective. */
const USEFUL_PART = 0.95;
/** Part of the connections that a server takes which the daemons use together. */
const CONNECTION_PART = 0.9;
/**
 * Requests follow an owner that leaves, or whose zone is evacuated, this part of the allowed time: its keys move. The rest is for
 * connections that take long to come up, so that no request arrives after the time.
 */
const LEAVING_PART = 0.5;
/** An owner of keys cannot be passed by: one failure may be an accident. */
const OWNER_FORGIVEN_FAILURES = 2;

/** Requests that this daemon may have at one server: each takes a connection, and a server takes so many. */
function mostInFlight(context: RouterContext, service: ServiceName): number {
  const { configuration, daemons } = context.state;
  const limit = configuration?.services.get(service)?.connectionLimit ?? Number.POSITIVE_INFINITY;
  return Math.max(1, Math.floor(equalPart(limit * CONNECTION_PART, daemons)));
}

/** Time between two turns of this daemon at a cold server of a service; null: nothing bounds what such a server gets. */
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

/** For servers that can pass their work to others. */
function gateTerms(context: RouterContext, request: ActiveRequest): GateTerms {
  const { id, service, route, holdUntil } = request;
  return {
    now: context.now,
    evacuations: context.state.evacuations,
    leavingGrace: 0,
    evacuationGrace: 0,
    forgivenFailures: 0,
    coldInterval: coldIntervalOf(context, service),
    mostInFlight: mostInFlight(context, service),
    shareOf: context.state.limits.isEmpty ? hasNoLimit : (server) => limitShareOf(context.state, server),
    seeker: { id, priority: route.priority, holdUntil },
  };
}

/** Keys of an owner that leaves, or whose zone is evacuated, are on their way: it gets requests for a part of the allowed time. */
function ownerTerms(context: RouterContext, request: ActiveRequest): GateTerms {
  const { drain, evacuation } = context.state.bounds;
  return {
    ...gateTerms(context, request),
    leavingGrace: drain * LEAVING_PART,
    evacuationGrace: (evacuation ?? 0) * LEAVING_PART,
    forgivenFailures: OWNER_FORGIVEN_FAILURES,
  };
}

/** A new request there would be shed, or answered too late to be of full use. */
function isFull({ now }: RouterContext, { load, server }: KnownServer, request: ActiveRequest): boolean {
  const busy = load.busy(now);
  if (busy < server.slots) {
    return false;
  }
  const late = load.expectedTime(server.slots, now) > request.route.latencyObjective * USEFUL_PART;
  return late || busy >= server.slots * (1 + WAITING_PER_SLOT);
}

/** The owner of a key, as far as this daemon knows that it holds it. */
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
  const gate = closedGate(known, ownerTerms(context, request));
  const isOpen = gate === null || gate === 'awaits_permit';
  const hasRoom = window.allows(inFlight.size, context.now) && !isFull(context, known, request);
  if (isOpen && !hasRoom) {
    return refuseFull(context, known);
  }
  return gate === null ? known : ownerRefusal(context, request, known, gate);
}

/** Of the servers that stay; while all of a service leave at once, of those that have done so for a short time. */
function chooseServer(
  candidates: ReadonlyMap<ServerId, KnownServer>,
  selection: SelectionContext,
  drain: Milliseconds,
): KnownServer | undefined {
  const chosen = selectServer(candidates.values(), selection);
  const areLeaving = chosen === undefined && [...candidates.values()].every(isLeaving);
  return areLeaving
    ? selectServer(candidates.values(), { ...selection, leavingGrace: drain * LEAVING_PART })
    : chosen;
}

function isLeaving({ drainingSince }: KnownServer): boolean {
  return drainingSince !== null;
}

/** No server of a service takes a request: by what they have said themselves, or by what this daemon has seen of them. */
function noServer(context: RouterContext, request: ActiveRequest): NoDestination {
  const { serversByService, evacuations } = context.state;
  const staying = [...(serversByService.get(request.service)?.values() ?? [])].filter(
    (known) => !isLeaving(known),
  );
  const opening = staying.map((known) => ({
    rest: known.rest.left(context.now),
    place: untilPlace(context, request, known),
  }));
  const left = Math.min(...opening.map(({ rest, place }) => Math.max(rest, place)));
  if (staying.length > 0 && left > 0) {
    return opening.every(({ rest }) => rest > 0)
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
  const gate = closedGate(chosen, { ...selection, leavingGrace: Number.POSITIVE_INFINITY });
  return gate === 'awaits_permit' ? awaitPermit(context, request, chosen) : chosen;
}

/** Where a request goes now, or why it can go nowhere. */
export function findDestination(context: RouterContext, request: ActiveRequest): KnownServer | NoDestination {
  return request.key === null ? anyServer(context, request) : ownerOf(context, request, request.key);
}
