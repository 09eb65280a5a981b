/** Where a request goes now: to the owner of its key, or to the server that should answer first. */
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import { noteOverload } from '../tree/reports.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from './active-request.js';
import { equalPart } from '../sharing/equal-part.js';
import { coldInterval } from './cold-admission.js';
import { closedGate, type ClosedGate, type GateTerms } from './server-gates.js';
import { selectServer, type SelectionContext } from './server-selection.js';
import { FULL_RETRY_AFTER } from './request-timing.js';

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
/** Callers that are refused for a rest come back over this part of it, beyond its end: not all at once. */
const RETURN_SPREAD = 0.25;
/** A rest without an end in sight tells a caller nothing more than this. */
const LONGEST_RETRY_AFTER: Milliseconds = 3_600_000;
const OWNER_RETRY_AFTER: Milliseconds = 200;
/** An owner of keys cannot be passed by: one failure may be an accident. */
const OWNER_FORGIVEN_FAILURES = 2;

/** Why a request can go nowhere now. */
export interface NoDestination {
  readonly reason: string;
  /** Waiting a moment may help. */
  readonly hold: boolean;
  readonly retryAfter: Milliseconds;
}

/** Tells a refusal from a server. */
export function isRefusal(destination: KnownServer | NoDestination): destination is NoDestination {
  return 'reason' in destination;
}

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

/** A new request there would be shed, or answered too late to be of full use. */
function isFull(context: RouterContext, known: KnownServer, request: ActiveRequest): boolean {
  const { now } = context;
  const { load, server } = known;
  if (load.inFlight.size >= mostInFlight(context, request.service)) {
    return true;
  }
  const busy = load.busy(now);
  if (busy < server.slots) {
    return false;
  }
  const late = load.expectedTime(server.slots, now) > request.route.latencyObjective * USEFUL_PART;
  return late || busy >= server.slots * (1 + WAITING_PER_SLOT);
}

/** A request waits for the end of a rest only if that comes in time; else it is refused at once, with the time that is left. */
function restRefusal(
  { now, state }: RouterContext,
  request: ActiveRequest,
  reason: string,
  left: Milliseconds,
): NoDestination {
  const told = Math.min(left, LONGEST_RETRY_AFTER);
  const retryAfter = told * (1 + RETURN_SPREAD * state.random.fraction());
  return { reason, hold: now + left <= request.holdUntil, retryAfter };
}

/** Why an owner gets nothing: the request waits, or its caller is told when to come back. */
function ownerRefusal(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer,
  gate: ClosedGate,
): NoDestination {
  const { now, state } = context;
  const { server, rest, coldUntil, drainingSince } = known;
  const refusal = (reason: string, hold: boolean, retryAfter = OWNER_RETRY_AFTER): NoDestination => ({
    reason,
    hold,
    retryAfter,
  });
  switch (gate) {
    case 'leaving':
      // Keys that have not moved by the bound wait for the store: no caller should wait with them.
      return refusal(`the owner ${server.id} is leaving`, now - (drainingSince ?? now) <= state.bounds.drain);
    case 'evacuated':
      return refusal(`the zone of the owner ${server.id} is evacuated`, true);
    case 'resting':
      return restRefusal(context, request, `the owner ${server.id} wants rest`, rest.left(now));
    case 'recovering':
      return refusal(
        `the owner ${server.id} takes one request at a time after its rest`,
        true,
        FULL_RETRY_AFTER,
      );
    case 'cold': {
      const retryAfter = Math.max(OWNER_RETRY_AFTER, coldUntil - now);
      return refusal(`the owner ${server.id} is cold and takes few requests`, false, retryAfter);
    }
    case 'silent':
      return refusal(`the owner ${server.id} is silent`, false);
    case 'failing':
      return refusal(`the owner ${server.id} fails`, true);
    case 'crowded':
      return fullRefusal(context, known);
  }
}

function fullRefusal(context: RouterContext, { server }: KnownServer): NoDestination {
  noteOverload(context);
  return { reason: `the owner ${server.id} is full`, hold: true, retryAfter: FULL_RETRY_AFTER };
}

/** Keys of an owner that leaves, or whose zone is evacuated, are on their way: it gets requests for a part of the allowed time. */
function ownerTerms(context: RouterContext, service: ServiceName): GateTerms {
  const { drain, evacuation } = context.state.bounds;
  return {
    ...gateTerms(context, service),
    leavingGrace: drain * LEAVING_PART,
    evacuationGrace: (evacuation ?? 0) * LEAVING_PART,
    forgivenFailures: OWNER_FORGIVEN_FAILURES,
  };
}

/** For servers that can pass their work to others. */
function gateTerms(context: RouterContext, service: ServiceName): GateTerms {
  return {
    now: context.now,
    evacuations: context.state.evacuations,
    leavingGrace: 0,
    evacuationGrace: 0,
    forgivenFailures: 0,
    coldInterval: coldIntervalOf(context, service),
    mostInFlight: mostInFlight(context, service),
  };
}

function ownerOf(context: RouterContext, request: ActiveRequest, key: number): KnownServer | NoDestination {
  const { view, servers, doubtedUnits } = context.state;
  const unit = view.unitOf(request.service, key);
  if (unit === undefined || !unit.granted) {
    const reason = unit === undefined ? 'the key has no owner' : `the key is on its way to ${unit.owner}`;
    return { reason, hold: true, retryAfter: OWNER_RETRY_AFTER };
  }
  if (doubtedUnits.has(unit.fence, context.now)) {
    const reason = `the owner ${unit.owner} does not hold the key yet`;
    return { reason, hold: true, retryAfter: OWNER_RETRY_AFTER };
  }
  const known = servers.get(unit.owner);
  if (known === undefined) {
    return { reason: `the owner ${unit.owner} is not listed`, hold: true, retryAfter: OWNER_RETRY_AFTER };
  }
  const gate = closedGate(known, ownerTerms(context, request.service));
  if (gate !== null) {
    return ownerRefusal(context, request, known, gate);
  }
  const { window, inFlight } = known.load;
  const isOpen = window.allows(inFlight.size, context.now) && !isFull(context, known, request);
  return isOpen ? known : fullRefusal(context, known);
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

/** The time until the first of the servers that stay takes requests again, if all of them rest; else 0. */
function restOfAll(
  candidates: ReadonlyMap<ServerId, KnownServer> | undefined,
  now: Milliseconds,
): Milliseconds {
  const staying = [...(candidates?.values() ?? [])].filter((known) => !isLeaving(known));
  return staying.length === 0 ? 0 : Math.min(...staying.map(({ rest }) => rest.left(now)));
}

function isLeaving({ drainingSince }: KnownServer): boolean {
  return drainingSince !== null;
}

function anyServer(context: RouterContext, request: ActiveRequest): KnownServer | NoDestination {
  const { serversByService, identity, random, evacuations, bounds } = context.state;
  const candidates = serversByService.get(request.service);
  const { latencyObjective } = request.route;
  const selection = {
    ...gateTerms(context, request.service),
    latencyObjective,
    zone: identity.zone,
    random,
    tried: request.tried,
  };
  const chosen = candidates === undefined ? undefined : chooseServer(candidates, selection, bounds.drain);
  const restLeft = chosen === undefined ? restOfAll(candidates, context.now) : 0;
  if (restLeft > 0) {
    return restRefusal(context, request, 'every server wants rest', restLeft);
  }
  if (chosen === undefined) {
    const reason = evacuations.isEmpty
      ? 'no server takes requests'
      : 'no server outside of evacuated zones takes requests';
    return { reason, hold: true, retryAfter: FULL_RETRY_AFTER };
  }
  if (isFull(context, chosen, request)) {
    return { reason: 'every server is full', hold: true, retryAfter: FULL_RETRY_AFTER };
  }
  return chosen;
}

/** Where a request goes now, or why it can go nowhere. */
export function findDestination(context: RouterContext, request: ActiveRequest): KnownServer | NoDestination {
  return request.key === null ? anyServer(context, request) : ownerOf(context, request, request.key);
}
