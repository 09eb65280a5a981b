/** Chooses the server for a request that any server of its service can run. */
import type { SeededRandom } from '../../core/random.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { COLD_FACTOR } from './request-timing.js';
import { closedGate, type GatedServer, type GateTerms } from './server-gates.js';

/** What a server in another zone costs, as a part of the latency objective: bytes between zones are dear. */
const OTHER_ZONE_PART = 0.3;
/** Servers that are equal but for this share are taken in turn. */
const JITTER = 0.15;

/** A permit takes about this long to come: a server that needs none, or has one, is chosen before an equal one. */
const PERMIT_TIME: Milliseconds = 30;

/** What a choice depends on besides the candidates. */
export interface SelectionContext extends GateTerms {
  readonly zone: string;
  readonly latencyObjective: Milliseconds;
  readonly random: SeededRandom;
  /** Servers that the request has been sent to. */
  readonly tried: readonly ServerId[];
}

function cost(candidate: GatedServer, context: SelectionContext): Milliseconds {
  const { server, load, coldUntil } = candidate;
  const coldFactor = coldUntil > context.now ? COLD_FACTOR : 1;
  const usual = load.expectedTime(server.slots, context.now);
  const expected = usual * load.slowdown(context.now) * coldFactor;
  const way = server.zone === context.zone ? 0 : context.latencyObjective * OTHER_ZONE_PART;
  return expected * (1 + JITTER * context.random.fraction()) + way;
}

/** The cheapest of some servers. */
class Cheapest<Server> {
  server: Server | undefined;
  cost: Milliseconds = Number.POSITIVE_INFINITY;

  add(server: Server, itsCost: Milliseconds): void {
    if (itsCost < this.cost) {
      this.server = server;
      this.cost = itsCost;
    }
  }
}

/** The server that should answer first, or undefined when none takes requests. */
export function selectServer<Server extends GatedServer>(
  candidates: Iterable<Server>,
  context: SelectionContext,
): Server | undefined {
  const open = new Cheapest<Server>();
  const awaited = new Cheapest<Server>();
  const asked = new Cheapest<Server>();
  for (const candidate of candidates) {
    const gate = context.tried.includes(candidate.server.id) ? 'tried' : closedGate(candidate, context);
    if (gate === null) {
      open.add(candidate, cost(candidate, context));
    } else if (gate === 'awaits_permit') {
      const isAsked = candidate.permits.isAsked(context.seeker.id);
      (isAsked ? asked : awaited).add(candidate, cost(candidate, context) + PERMIT_TIME);
    }
  }
  if (asked.server !== undefined) {
    // Its permit would be here by now: the leader may be gone, and another server is open.
    return open.server ?? asked.server;
  }
  return open.cost <= awaited.cost ? open.server : awaited.server;
}
