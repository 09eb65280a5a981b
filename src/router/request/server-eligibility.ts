/**
 * Decides whether a server may get a request now, both for owners of keys and for balanced servers. The checks have a fixed order and the
 * first one that fails is returned: what a server stated itself comes before what this daemon estimates. The conditions end independently.
 */
import type { LimitShare } from '../limits/limit-share.js';
import type { Permits, PermitCandidate } from '../limits/permits.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { ServerDescription } from '../model/server.js';
import type { ZoneEvacuations } from '../news/zone-evacuations.js';
import type { ServerBackOff } from '../notices/server-back-off.js';
import type { ServerContact } from '../reachability/server-contact.js';
import type { SendWindows } from '../sharing/send-windows.js';
import type { ServerLoad } from './server-load.js';

/** A server with the state that the checks depend on. */
export interface CandidateServer {
  readonly server: ServerDescription;
  readonly load: ServerLoad;
  readonly contact: ServerContact;
  /** Time until which the server is cold after its start. */
  readonly coldUntil: Milliseconds;
  /** Windows in which this daemon may send to the server while it is cold. */
  readonly coldSendWindows: SendWindows;
  /** Back-off that the server asked of this daemon. */
  readonly backOff: ServerBackOff;
  /** Time at which draining began; null when the server isn't draining. */
  readonly drainingSince: Milliseconds | null;
  /** Permits of this daemon for the server's rate limit. */
  readonly permits: Permits;
}

/** Inputs of the checks that are the same for all servers of a service. */
export interface EligibilityContext {
  readonly now: Milliseconds;
  readonly evacuations: ZoneEvacuations;
  /** Time from the start of draining for which a server still gets requests. */
  readonly drainingGrace: Milliseconds;
  /** Time from the start of an evacuation for which the zone's servers still get requests. */
  readonly evacuationGrace: Milliseconds;
  /** A server is skipped for its failures only from this number of them since its last answer. */
  readonly toleratedFailures: number;
  /** Time between two send windows of this daemon at a cold server; null: cold servers get as many requests as warm ones. */
  readonly coldInterval: Milliseconds | null;
  /** Maximum number of this daemon's requests in flight at one server. */
  readonly maxInFlight: number;
  /** Returns this daemon's share of a server's rate limit; null: the server has none. */
  readonly shareOf: (server: ServerId) => LimitShare | null;
  /** The request to send, as a seeker of a permit. */
  readonly seeker: PermitCandidate;
}

/** Why a server may not get a request now. */
export type Ineligibility =
  | 'draining'
  | 'evacuated'
  | 'backing_off'
  /** The server's back-off has ended; it gets one request at a time until it has answered one. */
  | 'recovering'
  | 'cold'
  | 'unresponsive'
  /** No connection could be opened when this was last checked. */
  | 'out_of_reach'
  | 'failing'
  | 'overloaded'
  /** The server's rate limit leaves no permit in time for the request. */
  | 'at_limit'
  /** The server's rate limit may leave a permit in time, but the leader hasn't granted it yet. */
  | 'awaits_permit';

/** Returns why a server may not get a request now, or null when it may. */
export function findIneligibility(known: CandidateServer, context: EligibilityContext): Ineligibility | null {
  const { now } = context;
  const { load, backOff, contact } = known;
  if (isPastDrainingGrace(known, context)) {
    return 'draining';
  }
  if (isPastEvacuationGrace(known, context)) {
    return 'evacuated';
  }
  if (backOff.left(now) > 0) {
    return 'backing_off';
  }
  if (!backOff.allowsRequest(load.inFlight.size, now)) {
    return 'recovering';
  }
  if (!isAllowedWhileCold(known, context)) {
    return 'cold';
  }
  if (contact.isOutOfReach) {
    return 'out_of_reach';
  }
  if (load.isUnresponsive(now)) {
    return 'unresponsive';
  }
  if (load.avoidUntil > now && load.failures >= context.toleratedFailures) {
    return 'failing';
  }
  return load.inFlight.size >= context.maxInFlight ? 'overloaded' : checkRateLimit(known, context);
}

function checkRateLimit(
  { server, permits }: CandidateServer,
  { shareOf, seeker, now }: EligibilityContext,
): Ineligibility | null {
  const share = shareOf(server.id);
  const permit = share === null ? 'free' : permits.sendPermissionFor(seeker, share, now);
  switch (permit) {
    case 'free':
      return null;
    case 'awaited':
      return 'awaits_permit';
    case 'none':
      return 'at_limit';
  }
}

function isPastDrainingGrace(
  { drainingSince }: CandidateServer,
  { now, drainingGrace }: EligibilityContext,
): boolean {
  return drainingSince !== null && now - drainingSince >= drainingGrace;
}

function isPastEvacuationGrace(
  { server }: CandidateServer,
  { now, evacuations, evacuationGrace }: EligibilityContext,
): boolean {
  const age = evacuations.age(server.zone, now);
  return age !== null && age >= evacuationGrace;
}

/** Returns whether the server is warm, or is cold and this daemon has a send window there. */
function isAllowedWhileCold(
  { coldUntil, coldSendWindows }: CandidateServer,
  { coldInterval, now }: EligibilityContext,
): boolean {
  return coldUntil <= now || coldInterval === null || coldSendWindows.allows(coldInterval, now);
}
