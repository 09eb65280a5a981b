/** Collects the input of the assignment plan and writes the resulting table. */
import { MIN_TOTAL_RATE } from '../limits/limit-share.js';
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { planService } from './assignment-plan.js';
import { keyLoadOf } from './key-load.js';
import { delaysFirstAssignment, findUnreachedServers, wasReached } from './first-contact.js';
import type { Leadership } from './leadership-state.js';
import {
  FIRST_ASSIGNMENT_MAX_WAIT,
  FIRST_ASSIGNMENT_QUIET_PERIOD,
  FIRST_ASSIGNMENT_MIN_WAIT,
  UNIT_MERGE_INTERVAL,
  PLAN_INTERVAL,
} from './ownership-timing.js';
import type { EligibleServer, MovePermission } from './plan-input.js';
import { findUnitByName, mergeAdjacentUnits, unitName, type Unit } from './ownership-table.js';
import { hasUnconfirmedRelease } from './repeated-releases.js';
import { leaseOf } from './server-lease.js';
import { withoutFinishedReleases, writeTable } from './table-write.js';
import { isPathOpen } from '../reachability/path-checks.js';
import { COLD_SLOWDOWN } from '../request/request-timing.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Returns the lowest rate limit that a server has announced recently, so that a limit that comes and goes
 * does not move keys back and forth.
 */
function recentLimit(
  { state, now }: RouterContext,
  { recentLimits }: Leadership,
  server: ServerId,
): RequestsPerSecond | null {
  return recentLimits.lowest(server, state.limits.of(server), now);
}

function isEligible(context: RouterContext, leadership: Leadership, known: KnownServer): boolean {
  const { server, drainingSince } = known;
  const lease = leaseOf(leadership, server.id);
  const isDraining = drainingSince !== null || context.state.evacuations.has(server.zone);
  const isBackingOff = leadership.rests.isInBackOff(server.id, context.state.daemons, context.now);
  const limit = recentLimit(context, leadership, server.id);
  const acceptsRequests = limit === null || limit >= MIN_TOTAL_RATE;
  return !isDraining && !isBackingOff && acceptsRequests && !lease.unresponsive && !lease.ended;
}

function toEligibleServer(
  context: RouterContext,
  leadership: Leadership,
  known: KnownServer,
): EligibleServer {
  const { id, zone, slots } = known.server;
  const estimator = leadership.serviceTimeEstimators.get(id);
  estimator?.update(slots, context.now);
  const workTime =
    estimator?.serviceTime ?? known.load.serviceTime * (known.coldUntil > context.now ? COLD_SLOWDOWN : 1);
  const limit = recentLimit(context, leadership, id) ?? Number.POSITIVE_INFINITY;
  return {
    id,
    zone,
    // Keys whose requests exceed the rate limit are better served by another owner.
    throughput: { capacity: (slots * MILLISECONDS_PER_SECOND) / workTime, limit },
    isCold: known.coldUntil > context.now,
    keepsOnlyItsUnits:
      known.contact.isOutOfReach || hasUnconfirmedRelease(leadership, id) || !wasReached(leadership, id),
  };
}

function findContainingUnit(units: readonly Unit[], part: Unit): Unit | undefined {
  return units.find((unit) => unit.service === part.service && unit.from <= part.from && unit.to >= part.to);
}

/**
 * Returns the permission to move a unit now, or null while the unit must stay. A unit in transit stays until
 * it is certain which server may hold it.
 */
function movePermissionOf(leadership: Leadership, unit: Unit): MovePermission | null {
  const written =
    findUnitByName(leadership.table, unitName(unit)) ?? findContainingUnit(leadership.table.units, unit);
  const progress = written === undefined ? undefined : leadership.unitProgress.get(unitName(written));
  if (written === undefined || progress === undefined || written.owner !== unit.owner) {
    return null;
  }
  if (progress.phase !== 'releasing') {
    return { releasing: unit.owner };
  }
  return progress.ownerMayHold ? null : { releasing: written.releasing };
}

function eligibleServers(context: RouterContext, leadership: Leadership, service: string): EligibleServer[] {
  const known: Map<ServerId, KnownServer> = context.state.serversByService.get(service) ?? new Map();
  return [...known.values()]
    .filter((server) => isEligible(context, leadership, server))
    .map((server) => toEligibleServer(context, leadership, server));
}

/**
 * Returns when the newest server of a service became known, but no earlier than the start of the leadership.
 */
function newestServerAt(context: RouterContext, leadership: Leadership, service: ServiceName): Milliseconds {
  const known = context.state.serversByService.get(service)?.values() ?? [];
  return Math.max(leadership.startedAt, ...[...known].map(({ firstSeenAt }) => firstSeenAt));
}

/**
 * Returns when the first assignment of a service is due. Servers become known one after the other when a deployment starts: the first ones
 * would own every key, and moving keys later has a cost.
 */
function firstAssignmentDueAt(
  context: RouterContext,
  leadership: Leadership,
  service: ServiceName,
): Milliseconds {
  const { startedAt } = leadership;
  const earliest = startedAt + FIRST_ASSIGNMENT_MIN_WAIT;
  if (keyLoadOf(leadership, service).hasRecentRequests(context.now)) {
    return earliest;
  }
  const quietAt = newestServerAt(context, leadership, service) + FIRST_ASSIGNMENT_QUIET_PERIOD;
  return Math.max(earliest, Math.min(quietAt, startedAt + FIRST_ASSIGNMENT_MAX_WAIT));
}

/** Returns whether the first assignment of a service is to be delayed, and has it planned as soon as it is due. */
function isFirstAssignmentPremature(
  context: RouterContext,
  leadership: Leadership,
  service: ServiceName,
): boolean {
  if (leadership.table.units.some((unit) => unit.service === service)) {
    return false;
  }
  if (leadership.table.isIncomplete === true && context.now <= leadership.formerLeaderLeasesEndAt) {
    return true;
  }
  const dueAt = firstAssignmentDueAt(context, leadership, service);
  if (context.now < dueAt) {
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, dueAt);
    return true;
  }
  return delaysFirstAssignment(context, leadership);
}

/** Returns whether the owner of a unit, as the table in the store has it, holds it and answers calls. */
function isMergeable(leadership: Leadership, unit: Unit): boolean {
  const progress = leadership.unitProgress.get(unitName(unit));
  const isHeld = progress?.phase === 'held' && progress.fence === unit.fence;
  return isHeld && leaseOf(leadership, unit.owner).unanswered === 0;
}

/** Plans the assignment of all keyed services, and writes the table if it changed. */
export function planAssignments(context: RouterContext, leadership: Leadership): void {
  const { state, now } = context;
  leadership.plannedAt = now;
  leadership.nextPlanAt = now + PLAN_INTERVAL;
  if (state.configuration === null || state.serversRevision === null) {
    return;
  }
  findUnreachedServers(context, leadership);
  const isMergingDue = now >= leadership.nextMergeAt;
  let table = leadership.table;
  for (const service of state.configuration.services.values()) {
    // What only this daemon can't reach stays where it is.
    const isReached = isPathOpen(state, service.name);
    if (service.keyed && isReached && !isFirstAssignmentPremature(context, leadership, service.name)) {
      table = planService(table, {
        service: service.name,
        servers: eligibleServers(context, leadership, service.name),
        rates: keyLoadOf(leadership, service.name).rates(now),
        isRejoiningDue: isMergingDue,
        movePermission: (unit) => movePermissionOf(leadership, unit),
      });
    }
  }
  if (table !== leadership.table || isMergingDue) {
    leadership.nextMergeAt = now + UNIT_MERGE_INTERVAL;
    table = mergeAdjacentUnits(table, (unit) => isMergeable(leadership, unit));
    table = withoutFinishedReleases(leadership, table);
  }
  const haveReleasesChanged = leadership.unconfirmedReleases !== leadership.table.unconfirmedReleases;
  if (table !== leadership.table || (isMergingDue && haveReleasesChanged)) {
    writeTable(context, leadership, table);
  }
}
