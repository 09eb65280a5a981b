/**
 * Says whether a request may go to a server now: the one list of conditions, for the owner of a key and for servers that share their work. Each
 * ends by itself, and the first one that holds is named: those that a server has stated come before what this daemon guesses.
 */
import type { LimitShare } from '../limits/limit-share.js';
import type { Permits, PlaceSeeker } from '../limits/permits.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { ServerDescription } from '../model/server.js';
import type { ZoneEvacuations } from '../news/zone-evacuations.js';
import type { ServerRest } from '../notices/server-rest.js';
import type { Turns } from '../sharing/turns.js';
import type { ServerLoad } from './server-load.js';

/** A server and what is known of it. */
export interface GatedServer {
  readonly server: ServerDescription;
  readonly load: ServerLoad;
  /** It is cold until this time. */
  readonly coldUntil: Milliseconds;
  readonly coldTurns: Turns;
  /** The rest that it wants from this daemon. */
  readonly rest: ServerRest;
  /** It leaves since then, or null. */
  readonly drainingSince: Milliseconds | null;
  /** Its places for this daemon while it names a limit. */
  readonly permits: Permits;
}

/** What holds for all servers of a service. */
export interface GateTerms {
  readonly now: Milliseconds;
  readonly evacuations: ZoneEvacuations;
  /** Servers that leave get nothing once they have for longer than this. */
  readonly leavingGrace: Milliseconds;
  /** The same of servers in zones that are evacuated. */
  readonly evacuationGrace: Milliseconds;
  /** A server gets requests in spite of so many failures in a row. */
  readonly forgivenFailures: number;
  /** Time between two turns of this daemon at a cold server; null: cold servers get what warm ones do. */
  readonly coldInterval: Milliseconds | null;
  /** Requests that this daemon may have at one server. */
  readonly mostInFlight: number;
  /** What this daemon may send to a server with a limit; null: it has none. */
  readonly shareOf: (server: ServerId) => LimitShare | null;
  /** The request that is to be sent. */
  readonly seeker: PlaceSeeker;
}

/** Why a server gets nothing now. */
export type ClosedGate =
  | 'leaving'
  | 'evacuated'
  | 'resting'
  /** After a rest it gets one request at a time, until it has answered one. */
  | 'recovering'
  | 'cold'
  | 'silent'
  | 'failing'
  | 'crowded'
  /** No place is left in time of those that its limit leaves. */
  | 'at_limit'
  /** Its limit leaves a place, once the permit for it has come. */
  | 'awaits_permit';

/** The first condition that keeps requests from a server, or null. */
export function closedGate(known: GatedServer, terms: GateTerms): ClosedGate | null {
  const { now } = terms;
  const { load, rest } = known;
  if (isGone(known, terms)) {
    return 'leaving';
  }
  if (isEvacuated(known, terms)) {
    return 'evacuated';
  }
  if (rest.left(now) > 0) {
    return 'resting';
  }
  if (!rest.allows(load.inFlight.size, now)) {
    return 'recovering';
  }
  if (!mayStartCold(known, terms)) {
    return 'cold';
  }
  if (load.isSilent(now)) {
    return 'silent';
  }
  if (load.avoidUntil > now && load.failures >= terms.forgivenFailures) {
    return 'failing';
  }
  return load.inFlight.size >= terms.mostInFlight ? 'crowded' : limitGate(known, terms);
}

function limitGate({ server, permits }: GatedServer, { shareOf, seeker, now }: GateTerms): ClosedGate | null {
  const share = shareOf(server.id);
  const place = share === null ? 'free' : permits.placeFor(seeker, share, now);
  switch (place) {
    case 'free':
      return null;
    case 'awaited':
      return 'awaits_permit';
    case 'none':
      return 'at_limit';
  }
}

function isGone({ drainingSince }: GatedServer, { now, leavingGrace }: GateTerms): boolean {
  return drainingSince !== null && now - drainingSince >= leavingGrace;
}

function isEvacuated({ server }: GatedServer, { now, evacuations, evacuationGrace }: GateTerms): boolean {
  const age = evacuations.age(server.zone, now);
  return age !== null && age >= evacuationGrace;
}

/** A cold server gets a request only in a turn of this daemon. */
function mayStartCold({ coldUntil, coldTurns }: GatedServer, { coldInterval, now }: GateTerms): boolean {
  return coldUntil <= now || coldInterval === null || coldTurns.allows(coldInterval, now);
}
