/** Chooses the server for a request that any server of its service can run. */
import type { SeededRandom } from '../../core/random.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { ServerDescription } from '../model/server.js';
import type { ZoneEvacuations } from '../news/zone-evacuations.js';
import type { ServerRest } from '../notices/server-rest.js';
import type { Turns } from '../sharing/turns.js';
import type { ServerLoad } from './server-load.js';
import { COLD_FACTOR } from './request-timing.js';

/** What a server in another zone costs, as a part of the latency objective: bytes between zones are dear. */
const OTHER_ZONE_PART = 0.3;
/** Servers that are equal but for this share are taken in turn. */
const JITTER = 0.15;

/** A server and what is known of its load. */
export interface Candidate {
  readonly server: ServerDescription;
  readonly load: ServerLoad;
  /** It is cold until this time. */
  readonly coldUntil: Milliseconds;
  readonly coldTurns: Turns;
  /** The rest that it wants from this daemon. */
  readonly rest: ServerRest;
  /** It leaves since then, or null. */
  readonly drainingSince: Milliseconds | null;
}

/** What a choice depends on besides the candidates. */
export interface SelectionContext {
  readonly now: Milliseconds;
  readonly zone: string;
  readonly latencyObjective: Milliseconds;
  readonly random: SeededRandom;
  /** Servers that the request has been sent to. */
  readonly tried: readonly ServerId[];
  /** Time between two turns of this daemon at a cold server; null: cold servers get what warm ones do. */
  readonly coldInterval: Milliseconds | null;
  /** Zones whose servers get nothing. */
  readonly evacuations: ZoneEvacuations;
  /** Servers that leave get nothing once they have for longer than this. */
  readonly leavingGrace: Milliseconds;
  /** Requests that this daemon may have at one server. */
  readonly mostInFlight: number;
}

function cost(candidate: Candidate, context: SelectionContext): Milliseconds {
  const { server, load, coldUntil } = candidate;
  const coldFactor = coldUntil > context.now ? COLD_FACTOR : 1;
  const usual = load.expectedTime(server.slots, context.now);
  const expected = usual * load.slowdown(context.now) * coldFactor;
  const way = server.zone === context.zone ? 0 : context.latencyObjective * OTHER_ZONE_PART;
  return expected * (1 + JITTER * context.random.fraction()) + way;
}

/** A cold server gets a request only in a turn of this daemon. */
export function mayStartCold(
  candidate: Pick<Candidate, 'coldUntil' | 'coldTurns'>,
  coldInterval: Milliseconds | null,
  now: Milliseconds,
): boolean {
  const isBounded = candidate.coldUntil > now && coldInterval !== null;
  return !isBounded || candidate.coldTurns.allows(coldInterval, now);
}

/** A server that leaves gets nothing, or nothing after the grace. */
function isStaying({ drainingSince }: Candidate, { now, leavingGrace }: SelectionContext): boolean {
  return drainingSince === null || now - drainingSince < leavingGrace;
}

function isOpen(candidate: Candidate, context: SelectionContext): boolean {
  return (
    isStaying(candidate, context) &&
    !context.evacuations.has(candidate.server.zone) &&
    candidate.rest.allows(candidate.load.inFlight.size, context.now) &&
    candidate.load.avoidUntil <= context.now &&
    candidate.load.inFlight.size < context.mostInFlight &&
    !candidate.load.isSilent(context.now) &&
    mayStartCold(candidate, context.coldInterval, context.now) &&
    !context.tried.includes(candidate.server.id)
  );
}

/** The server that should answer first, or undefined when none takes requests. */
export function selectServer(
  candidates: Iterable<Candidate>,
  context: SelectionContext,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    if (isOpen(candidate, context)) {
      const candidateCost = cost(candidate, context);
      if (candidateCost < bestCost) {
        best = candidate;
        bestCost = candidateCost;
      }
    }
  }
  return best;
}
