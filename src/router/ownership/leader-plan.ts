/** Gathers what an assignment is planned from, and writes the plan. */
import { MIN_TOTAL_RATE } from '../limits/limit-share.js';
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { planService } from './assignment-plan.js';
import { keyLoadOf } from './key-load.js';
import type { Leadership } from './leadership-state.js';
import {
  FIRST_ASSIGNMENT_LONGEST_WAIT,
  FIRST_ASSIGNMENT_QUIET,
  FIRST_ASSIGNMENT_WAIT,
  JOIN_INTERVAL,
  PLAN_INTERVAL,
} from './ownership-timing.js';
import type { EligibleServer, Mobility } from './plan-input.js';
import { joinUnits, unitName, type Unit } from './ownership-table.js';
import { leaseOf } from './server-lease.js';
import { withoutFinishedReleases, writeTable } from './table-write.js';
import { COLD_SLOWDOWN } from '../request/request-timing.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** The lowest limit that a server has named lately: keys don't move to and fro with one that comes and goes. */
function recentLimit(
  { state, now }: RouterContext,
  { recentLimits }: Leadership,
  server: ServerId,
): RequestsPerSecond | null {
  return recentLimits.lowest(server, state.limits.of(server), now);
}

function eligible(context: RouterContext, leadership: Leadership, known: KnownServer): boolean {
  const { server, drainingSince } = known;
  const lease = leaseOf(leadership, server.id);
  const isLeaving = drainingSince !== null || context.state.evacuations.has(server.zone);
  const isResting = leadership.rests.isResting(server.id, context.state.daemons, context.now);
  const limit = recentLimit(context, leadership, server.id);
  const takesAny = limit === null || limit >= MIN_TOTAL_RATE;
  return !isLeaving && !isResting && takesAny && !lease.silent && !lease.ended;
}

function describe(context: RouterContext, leadership: Leadership, known: KnownServer): EligibleServer {
  const { id, zone, slots } = known.server;
  const pace = leadership.paces.get(id);
  pace?.judge(slots, context.now);
  const workTime =
    pace?.workTime ?? known.load.serviceTime * (known.coldUntil > context.now ? COLD_SLOWDOWN : 1);
  const limit = recentLimit(context, leadership, id) ?? Number.POSITIVE_INFINITY;
  return {
    id,
    zone,
    // Keys whose requests a limit leaves no place for are better served by another owner.
    room: { capacity: (slots * MILLISECONDS_PER_SECOND) / workTime, limit },
    isCold: known.coldUntil > context.now,
  };
}

function containing(units: readonly Unit[], part: Unit): Unit | undefined {
  return units.find((unit) => unit.service === part.service && unit.from <= part.from && unit.to >= part.to);
}

/** How a unit may be moved now. A unit on its way stays until it is certain who may hold it. */
function mobilityOf(leadership: Leadership, unit: Unit): Mobility | null {
  const written = containing(leadership.table.units, unit);
  const progress = written === undefined ? undefined : leadership.progress.get(unitName(written));
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
    .filter((server) => eligible(context, leadership, server))
    .map((server) => describe(context, leadership, server));
}

/** When the newest server of a service became known, or the start of the leadership if none is later. */
function newestServerAt(context: RouterContext, leadership: Leadership, service: ServiceName): Milliseconds {
  const known = context.state.serversByService.get(service)?.values() ?? [];
  return Math.max(leadership.startedAt, ...[...known].map(({ knownSince }) => knownSince));
}

/**
 * Whether a service's first assignment had better wait. Servers appear one after the other when a deployment
 * starts: whoever is known first would own every key, and each key that moves on later costs.
 */
function isTooEarly(context: RouterContext, leadership: Leadership, service: ServiceName): boolean {
  if (leadership.table.units.some((unit) => unit.service === service)) {
    return false;
  }
  const waited = context.now - leadership.startedAt;
  if (waited < FIRST_ASSIGNMENT_WAIT) {
    return true;
  }
  const isAskedFor = keyLoadOf(leadership, service).isAskedFor(context.now);
  const isQuiet = context.now - newestServerAt(context, leadership, service) >= FIRST_ASSIGNMENT_QUIET;
  return !isAskedFor && !isQuiet && waited < FIRST_ASSIGNMENT_LONGEST_WAIT;
}

/** A unit that its owner holds, and answers for. */
function mayJoin(leadership: Leadership, unit: Unit): boolean {
  const held = leadership.progress.get(unitName(unit))?.phase === 'held';
  return held && leaseOf(leadership, unit.owner).unanswered === 0;
}

/** Works out who should own what, and writes it if it differs. */
export function makePlan(context: RouterContext, leadership: Leadership): void {
  const { state, now } = context;
  leadership.plannedAt = now;
  leadership.nextPlanAt = now + PLAN_INTERVAL;
  if (state.configuration === null || state.serversRevision === null) {
    return;
  }
  let table = leadership.table;
  for (const service of state.configuration.services.values()) {
    if (service.keyed && !isTooEarly(context, leadership, service.name)) {
      table = planService(table, {
        service: service.name,
        servers: eligibleServers(context, leadership, service.name),
        rates: keyLoadOf(leadership, service.name).rates(now),
        mobility: (unit) => mobilityOf(leadership, unit),
      });
    }
  }
  if (table === leadership.table && now >= leadership.nextJoinAt) {
    leadership.nextJoinAt = now + JOIN_INTERVAL;
    table = joinUnits(table, (unit) => mayJoin(leadership, unit));
    table = withoutFinishedReleases(leadership, table);
  }
  if (table !== leadership.table) {
    writeTable(context, leadership, table);
  }
}
