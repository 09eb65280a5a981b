/** Why a request can go nowhere now: whether it waits, and what its caller is told otherwise. */
import { limitShareOf } from '../limits/permit-exchange.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { noteOverload } from '../tree/reports.js';
import type { ActiveRequest } from './active-request.js';
import { FULL_RETRY_AFTER } from './request-timing.js';
import type { ClosedGate } from './server-gates.js';

/** Callers that are refused for a rest or a limit come back over this part of the time, beyond its end: not all at once. */
const RETURN_SPREAD = 0.25;
/** The same for a place that is near: so that they don't all come for the next one. */
const LEAST_RETURN_SPREAD: Milliseconds = 200;
/** A rest without an end in sight tells a caller nothing more than this. */
const LONGEST_RETRY_AFTER: Milliseconds = 3_600_000;
const OWNER_RETRY_AFTER: Milliseconds = 200;

/** Why a request can go nowhere now. */
export interface NoDestination {
  readonly reason: string;
  /** Waiting a moment may help. */
  readonly hold: boolean;
  readonly retryAfter: Milliseconds;
  /** A permit for a place at this server would help; null: none is needed. */
  readonly permitFrom: KnownServer | null;
  /** The limit that a server has named keeps the request back. */
  readonly isLimited: boolean;
}

/** Tells a refusal from a server. */
export function isRefusal(destination: KnownServer | NoDestination): destination is NoDestination {
  return 'reason' in destination;
}

/** A refusal for a reason that is neither a rest nor a limit. */
export function refuse(reason: string, hold: boolean, retryAfter = OWNER_RETRY_AFTER): NoDestination {
  return { reason, hold, retryAfter, permitFrom: null, isLimited: false };
}

/** No server takes the request now, and this passes soon. */
export function refuseForNow(reason: string): NoDestination {
  return refuse(reason, true, FULL_RETRY_AFTER);
}

/** A request waits for something only if that comes in time; else it is refused at once, with the time that is left. */
function refuseUntil(
  { now, state }: RouterContext,
  request: ActiveRequest,
  reason: string,
  left: Milliseconds,
  leastSpread: Milliseconds,
): NoDestination {
  const told = Math.min(left, LONGEST_RETRY_AFTER);
  const spread = Math.max(told * RETURN_SPREAD, leastSpread);
  return refuse(reason, now + left <= request.holdUntil, told + spread * state.random.fraction());
}

/** A server wants rest for so long. */
export function refuseForRest(
  context: RouterContext,
  request: ActiveRequest,
  reason: string,
  left: Milliseconds,
): NoDestination {
  return refuseUntil(context, request, reason, left, 0);
}

/** A server's limit leaves no place for so long. */
export function refuseForLimit(
  context: RouterContext,
  request: ActiveRequest,
  reason: string,
  left: Milliseconds,
): NoDestination {
  return { ...refuseUntil(context, request, reason, left, LEAST_RETURN_SPREAD), isLimited: true };
}

/** A permit for a place at a server with a limit may come in time. */
export function awaitPermit(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer,
): NoDestination {
  const left = untilPlace(context, request, known);
  const reason = `no permit has come in time for ${known.server.id}, which names a limit`;
  return { ...refuseForLimit(context, request, reason, left), hold: true, permitFrom: known };
}

/** Time until a server's limit leaves a place for a request; 0: it has no limit, or a place. */
export function untilPlace(
  { state, now }: RouterContext,
  request: ActiveRequest,
  { server, permits }: KnownServer,
): Milliseconds {
  const share = limitShareOf(state, server.id);
  return share === null ? 0 : permits.untilPlace(request.route.priority, share, now);
}

/** An owner has too much to do. */
export function refuseFull(context: RouterContext, { server }: KnownServer): NoDestination {
  noteOverload(context);
  return refuseForNow(`the owner ${server.id} is full`);
}

/** Why the owner of a key gets nothing now. */
export function ownerRefusal(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer,
  gate: ClosedGate,
): NoDestination {
  const { now, state } = context;
  const { server, rest, coldUntil, drainingSince } = known;
  const owner = `the owner ${server.id}`;
  switch (gate) {
    case 'leaving':
      // Keys that have not moved by the bound wait for the store: no caller should wait with them.
      return refuse(`${owner} is leaving`, now - (drainingSince ?? now) <= state.bounds.drain);
    case 'evacuated':
      return refuse(`the zone of ${owner} is evacuated`, true);
    case 'resting':
      return refuseForRest(context, request, `${owner} wants rest`, rest.left(now));
    case 'recovering':
      return refuseForNow(`${owner} takes one request at a time after its rest`);
    case 'cold': {
      const retryAfter = Math.max(OWNER_RETRY_AFTER, coldUntil - now);
      return refuse(`${owner} is cold and takes few requests`, false, retryAfter);
    }
    case 'silent':
      return refuse(`${owner} is silent`, false);
    case 'failing':
      return refuse(`${owner} fails`, true);
    case 'crowded':
      return refuseFull(context, known);
    case 'at_limit': {
      noteOverload(context);
      const reason = `the limit of ${owner} leaves no place in time`;
      const left = untilPlace(context, request, known);
      return { ...refuseForLimit(context, request, reason, left), hold: false };
    }
    case 'awaits_permit':
      return awaitPermit(context, request, known);
  }
}
