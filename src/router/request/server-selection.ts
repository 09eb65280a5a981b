/** Selects the server for a request that any server of its service can run. */
import type { SeededRandom } from '../../core/random.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { COLD_SLOWDOWN } from './request-timing.js';
import { findIneligibility, type CandidateServer, type EligibilityContext } from './server-eligibility.js';

/** Extra cost of a server in another zone, as a fraction of the latency objective; traffic between zones is expensive. */
const OTHER_ZONE_COST_FRACTION = 0.3;
/** Random fraction added to a server's cost, which spreads requests over servers with nearly equal costs. */
const COST_JITTER = 0.15;

/** Typical time until a permit arrives. As an extra cost, it prefers servers that need no permit, or for which this daemon has one. */
const PERMIT_WAIT_COST: Milliseconds = 30;

/** Inputs of a selection besides the candidates. */
export interface SelectionContext extends EligibilityContext {
  /** Zone of this daemon. */
  readonly zone: string;
  readonly latencyObjective: Milliseconds;
  readonly random: SeededRandom;
  /** Servers that the request has been sent to already. */
  readonly tried: readonly ServerId[];
}

function cost(candidate: CandidateServer, context: SelectionContext): Milliseconds {
  const { server, load, coldUntil } = candidate;
  const coldFactor = coldUntil > context.now ? COLD_SLOWDOWN : 1;
  const baseTime = load.expectedResponseTime(server.slots, context.now);
  const expectedTime = baseTime * load.slowdown(context.now) * coldFactor;
  const zoneCost = server.zone === context.zone ? 0 : context.latencyObjective * OTHER_ZONE_COST_FRACTION;
  return expectedTime * (1 + COST_JITTER * context.random.fraction()) + zoneCost;
}

/** Keeps the server with the lowest cost of those added. */
class LowestCost<Server> {
  server: Server | undefined;
  cost: Milliseconds = Number.POSITIVE_INFINITY;

  add(server: Server, serverCost: Milliseconds): void {
    if (serverCost < this.cost) {
      this.server = server;
      this.cost = serverCost;
    }
  }
}

/** Returns the server with the lowest cost, mainly the expected response time; undefined when no server may get the request. */
export function selectServer<Server extends CandidateServer>(
  candidates: Iterable<Server>,
  context: SelectionContext,
): Server | undefined {
  const eligible = new LowestCost<Server>();
  const awaitingPermit = new LowestCost<Server>();
  const permitRequested = new LowestCost<Server>();
  for (const candidate of candidates) {
    const gate = context.tried.includes(candidate.server.id)
      ? 'tried'
      : findIneligibility(candidate, context);
    if (gate === null) {
      eligible.add(candidate, cost(candidate, context));
    } else if (gate === 'awaits_permit') {
      const isAsked = candidate.permits.isRequested(context.seeker.id);
      (isAsked ? permitRequested : awaitingPermit).add(
        candidate,
        cost(candidate, context) + PERMIT_WAIT_COST,
      );
    }
  }
  if (permitRequested.server !== undefined) {
    // The requested permit is still missing and the leader may be gone, so a server that needs no permit is preferred.
    return eligible.server ?? permitRequested.server;
  }
  return eligible.cost <= awaitingPermit.cost ? eligible.server : awaitingPermit.server;
}
