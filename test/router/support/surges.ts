/** Surges of two routes of different priority that share the servers of a balanced service. */
import type { Route } from '../../../src/router/model/configuration.js';
import { BalancedTraffic } from './balanced-traffic.js';
import { CONFIGURATION } from './single-daemon.js';

const base = CONFIGURATION.routes[0] as Route;
const withAttempts = { ...base, maxAttempts: 3 };
export const URGENT: Route = {
  ...withAttempts,
  name: 'urgent',
  priority: 0,
  latencyObjective: 250,
  timeout: 1_000,
};
export const LESS_URGENT: Route = {
  ...withAttempts,
  name: 'other',
  priority: 2,
  latencyObjective: 1_500,
  timeout: 3_000,
};
/** Mean work of the two routes in milliseconds. */
export const URGENT_WORK = 48;
export const LESS_URGENT_WORK = 300;

const SURGE_START = 2_000;
const SURGE_LENGTH = 5_000;
/** The leader is lost in the third second of a surge. */
const LEADER_LOST_AFTER = 2_500;
/** Demands before the surge, as fractions of the capacity. */
const USUAL_URGENT_DEMAND = 0.2;
const USUAL_LESS_URGENT_DEMAND = 0.25;

/** Demands in the surge, as fractions of the capacity. */
export interface Surge {
  readonly daemons: number;
  readonly total: number;
  readonly urgent: number;
  readonly isLeaderLost: boolean;
}

/** Shares of what callers and servers got from the start of the surge to its end. */
export interface SurgeOutcome {
  /** Share of the requests that were answered within the objective. */
  readonly urgentInTime: number;
  readonly lessUrgentInTime: number;
  /** Share of the servers' capacity whose work was answered in time; after the loss of the leader if that is lost. */
  readonly usedCapacity: number;
  /** Share of the sends that full servers rejected. */
  readonly rejected: number;
  readonly reservedSizes: readonly number[];
}

/** Replays a surge. There are about as many servers for each daemon as in the deployment that this load is from. */
export function replaySurge({ daemons, total, urgent, isLeaderLost }: Surge): SurgeOutcome {
  const servers = Math.round(daemons * 1.15);
  const end = SURGE_START + SURGE_LENGTH;
  const demandIn =
    (usual: number, surge: number) =>
    (now: number): number =>
      now < SURGE_START ? usual : surge;
  const traffic = new BalancedTraffic({
    seed: 1,
    daemons,
    servers,
    zones: 3,
    ...(isLeaderLost ? { leaderLostAt: SURGE_START + LEADER_LOST_AFTER } : {}),
    routes: [
      { route: URGENT, work: URGENT_WORK, demand: demandIn(USUAL_URGENT_DEMAND, urgent) },
      {
        route: LESS_URGENT,
        work: LESS_URGENT_WORK,
        demand: demandIn(USUAL_LESS_URGENT_DEMAND, total - urgent),
      },
    ],
  });
  const countedFrom = SURGE_START + (isLeaderLost ? LEADER_LOST_AFTER : 0);
  traffic.clock.runUntil(countedFrom);
  traffic.resetCounts();
  traffic.clock.runUntil(end);
  const urgentCounts = traffic.countsOf(URGENT);
  const otherCounts = traffic.countsOf(LESS_URGENT);
  return {
    urgentInTime: urgentCounts.inTime / urgentCounts.requests,
    lessUrgentInTime: otherCounts.inTime / otherCounts.requests,
    usedCapacity: traffic.usedCapacity(end - countedFrom),
    rejected: traffic.rejectedFull / traffic.sends,
    reservedSizes: traffic.reservedSizes(),
  };
}
