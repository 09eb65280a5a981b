/** Where a request goes now: to the owner of its key, or to the server that should answer first. */
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import { noteOverload } from '../tree/reports.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from './active-request.js';
import { equalPart } from '../sharing/equal-part.js';
import { coldInterval } from './cold-admission.js';
import { mayStartCold, selectServer, type SelectionContext } from './server-selection.js';
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

/** An owner that leaves, or whose zone is evacuated, gets requests for a part of the allowed time. */
function leavingRefusal(context: RouterContext, known: KnownServer): NoDestination | null {
  const { bounds, evacuations } = context.state;
  const { server, drainingSince } = known;
  const leavingFor = drainingSince === null ? 0 : context.now - drainingSince;
  if (leavingFor > bounds.drain * LEAVING_PART) {
    // Keys that have not moved by the bound wait for the store: no caller should wait with them.
    const hold = leavingFor <= bounds.drain;
    return { reason: `the owner ${server.id} is leaving`, hold, retryAfter: OWNER_RETRY_AFTER };
  }
  const evacuatedFor = evacuations.age(server.zone, context.now);
  if (evacuatedFor !== null && evacuatedFor > (bounds.evacuation ?? 0) * LEAVING_PART) {
    const reason = `the zone of the owner ${server.id} is evacuated`;
    return { reason, hold: true, retryAfter: OWNER_RETRY_AFTER };
  }
  return null;
}

/** An owner gets nothing before the end of the rest that it asked for, and one request at a time after it. */
function restingRefusal(
  context: RouterContext,
  request: ActiveRequest,
  { server, rest, load }: KnownServer,
): NoDestination | null {
  const left = rest.left(context.now);
  if (left > 0) {
    return restRefusal(context, request, `the owner ${server.id} wants rest`, left);
  }
  if (!rest.allows(load.inFlight.size, context.now)) {
    const reason = `the owner ${server.id} takes one request at a time after its rest`;
    return { reason, hold: true, retryAfter: FULL_RETRY_AFTER };
  }
  return null;
}

/** What this daemon has seen of an owner: it may be cold, silent, failing or full. */
function loadRefusal(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer,
): NoDestination | null {
  const { server, load } = known;
  if (!mayStartCold(known, coldIntervalOf(context, request.service), context.now)) {
    const retryAfter = Math.max(OWNER_RETRY_AFTER, known.coldUntil - context.now);
    return { reason: `the owner ${server.id} is cold and takes few requests`, hold: false, retryAfter };
  }
  if (load.isSilent(context.now)) {
    return { reason: `the owner ${server.id} is silent`, hold: false, retryAfter: OWNER_RETRY_AFTER };
  }
  if (load.avoidUntil > context.now && load.failures > 1) {
    return { reason: `the owner ${server.id} fails`, hold: true, retryAfter: OWNER_RETRY_AFTER };
  }
  if (!load.window.allows(load.inFlight.size, context.now) || isFull(context, known, request)) {
    noteOverload(context);
    return { reason: `the owner ${server.id} is full`, hold: true, retryAfter: FULL_RETRY_AFTER };
  }
  return null;
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
  return (
    leavingRefusal(context, known) ??
    restingRefusal(context, request, known) ??
    loadRefusal(context, request, known) ??
    known
  );
}

/** Of the servers that stay; while all of a service leave at once, of those that have done so for a short time. */
function chooseServer(
  candidates: ReadonlyMap<ServerId, KnownServer>,
  selection: SelectionContext,
  drain: Milliseconds,
): KnownServer | undefined {
  const chosen = selectServer(candidates.values(), selection);
  const areLeaving = chosen === undefined && [...candidates.values()].every(isLeaving);
  return (
    areLeaving
      ? selectServer(candidates.values(), { ...selection, leavingGrace: drain * LEAVING_PART })
      : chosen
  ) as KnownServer | undefined;
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
    latencyObjective,
    now: context.now,
    zone: identity.zone,
    random,
    tried: request.tried,
    coldInterval: coldIntervalOf(context, request.service),
    evacuations,
    mostInFlight: mostInFlight(context, request.service),
    leavingGrace: 0,
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
