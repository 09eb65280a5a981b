/** Selects the server for a request that any server of its service can run. */
import type { SeededRandom } from '../../core/random.js';
import type { Route } from '../model/configuration.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { countedSlots } from './counted-slots.js';
import { COLD_SLOWDOWN } from './request-timing.js';
import {
  findIneligibility,
  type CandidateServer,
  type EligibilityContext,
  type Ineligibility,
} from './server-eligibility.js';

/** Assumed time of one network way between two zones. */
const OTHER_ZONE_WAY: Milliseconds = 1.5;
/**
 * A server in another zone costs at least this fraction of the route's work time: more than the jitter, so that requests cross zones only
 * when the own zone's servers are busier, and little enough that they cross before a queue forms there.
 */
const OTHER_ZONE_WORK_FRACTION = 0.6;
/** Random fraction added to a server's cost, which spreads requests over servers with nearly equal costs. */
const COST_JITTER = 0.15;
/**
 * A server that rejects all requests although it has free slots costs this many times its response time more. Half of the requests rejected
 * double the cost: a rejected request takes a second attempt, and a retry from the budget.
 */
const REJECTION_COST_FACTOR = 2;
/** Requests that may wait at a server for each of its slots before the server counts as at capacity. */
export const MAX_WAITING_PER_SLOT = 3;
/**
 * Other daemons' requests at a server vary around their estimate like a Poisson variable. A server counts as at capacity when this many
 * standard deviations more would fill its queue; without them, a tenth to a third of the sends in a surge were rejected.
 */
const QUEUE_DEVIATIONS = 2;
/** A request is not sent to a server without a free slot where it is expected to take more than this fraction of its latency objective. */
export const MAX_EXPECTED_TIME_FRACTION = 0.95;
/** Typical time until a permit arrives. As an extra cost, it prefers servers that need no permit, or for which this daemon has one. */
const PERMIT_WAIT_COST: Milliseconds = 30;

/** Inputs of a selection besides the candidates. */
export interface SelectionContext extends EligibilityContext {
  /** Zone of this daemon. */
  readonly zone: string;
  readonly route: Route;
  /** Mean work time of the route. */
  readonly workTime: Milliseconds;
  /** Whether the request may go to reserved servers. */
  readonly mayUseReserved: boolean;
  /** Longest wait of the next request after this one at a shared server, so that more urgent requests still answer in time there. */
  readonly maxWaitBehind: Milliseconds;
  readonly random: SeededRandom;
  /** Servers that the request has been sent to already. */
  readonly tried: readonly ServerId[];
}

/** The selected server; `full`: servers may get the request, but none has room; `none`: no server may get it. */
export type Selection<Server> =
  { readonly kind: 'selected'; readonly server: Server } | { readonly kind: 'full' | 'none' };

function expectedTime(
  { load, coldUntil }: CandidateServer,
  slots: number,
  { now, route }: SelectionContext,
): Milliseconds {
  const coldFactor = coldUntil > now ? COLD_SLOWDOWN : 1;
  return load.balancedResponseTime(slots, route, now) * load.slowdown(now) * coldFactor;
}

function cost(
  { server, load, contact }: CandidateServer,
  time: Milliseconds,
  context: SelectionContext,
): Milliseconds {
  const otherZoneCost = Math.max(2 * OTHER_ZONE_WAY, context.workTime * OTHER_ZONE_WORK_FRACTION);
  const zoneCost = server.zone === context.zone ? 0 : otherZoneCost;
  const rejectionFactor = 1 + REJECTION_COST_FACTOR * load.excessRejectedShare(context.now);
  // Until the first answer shows that there is a server, further requests rather go to others.
  const unheardFactor = contact.wasHeard ? 1 : 1 + load.inFlight.size;
  const jitter = 1 + COST_JITTER * context.random.fraction();
  return time * rejectionFactor * unheardFactor * jitter + zoneCost;
}

/** Returns whether a server would take a new request and answer it within its objective, or has a free slot. */
function hasRoom(
  { load }: CandidateServer,
  slots: number,
  time: Milliseconds,
  { now, route, maxWaitBehind }: SelectionContext,
): boolean {
  if (load.waitBehindBalanced(slots, now) > maxWaitBehind) {
    return false;
  }
  const estimatedInFlight = load.estimatedInFlight(now);
  if (estimatedInFlight < slots) {
    return true;
  }
  const isLate = time > route.latencyObjective * MAX_EXPECTED_TIME_FRACTION;
  const spread = QUEUE_DEVIATIONS * Math.sqrt(load.otherRequests(now));
  return !isLate && estimatedInFlight + spread < slots * (1 + MAX_WAITING_PER_SLOT);
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

/** Selects the server with the lowest cost, mainly the expected response time, of those that have room. */
export function selectServer<Server extends CandidateServer>(
  candidates: Iterable<Server>,
  context: SelectionContext,
): Selection<Server> {
  const eligible = new LowestCost<Server>();
  const awaitingPermit = new LowestCost<Server>();
  const permitRequested = new LowestCost<Server>();
  let isAnyFull = false;
  for (const candidate of candidates) {
    const gate = findObstacle(candidate, context);
    if (gate !== null && gate !== 'awaits_permit') {
      continue;
    }
    const slots = countedSlots(candidate);
    const time = expectedTime(candidate, slots, context);
    if (!hasRoom(candidate, slots, time, context)) {
      isAnyFull = true;
    } else if (gate === null) {
      eligible.add(candidate, cost(candidate, time, context));
    } else {
      const isAsked = candidate.permits.isRequested(context.seeker.id);
      const permitCost = cost(candidate, time, context) + PERMIT_WAIT_COST;
      (isAsked ? permitRequested : awaitingPermit).add(candidate, permitCost);
    }
  }
  const server = chooseByPermit(eligible, awaitingPermit, permitRequested);
  return server === undefined ? { kind: isAnyFull ? 'full' : 'none' } : { kind: 'selected', server };
}

/** Returns why a server may not get the request, or null when it may. */
function findObstacle(
  candidate: CandidateServer,
  context: SelectionContext,
): Ineligibility | 'tried' | 'reserved' | null {
  if (candidate.load.isReserved && !context.mayUseReserved) {
    return 'reserved';
  }
  return context.tried.includes(candidate.server.id) ? 'tried' : findIneligibility(candidate, context);
}

function chooseByPermit<Server>(
  eligible: LowestCost<Server>,
  awaitingPermit: LowestCost<Server>,
  permitRequested: LowestCost<Server>,
): Server | undefined {
  if (permitRequested.server !== undefined) {
    // The requested permit is still missing and the leader may be gone, so a server that needs no permit is preferred.
    return eligible.server ?? permitRequested.server;
  }
  return eligible.cost <= awaitingPermit.cost ? eligible.server : awaitingPermit.server;
}
