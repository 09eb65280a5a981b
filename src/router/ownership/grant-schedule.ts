/**
 * Sends grants and renewals, the earliest due first, a bounded number in each tick. A leader has to make as many calls as there are units
 * at the start of its term. Made in one go, those that a slow machine has not written within their timeout would never be sent. On such a
 * machine ticks are late, so that a bound for each tick adapts to its speed.
 */
import type { ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership, UnitProgress } from './leadership-state.js';
import { GRANT_TIMEOUT, LEASE_DURATION, LEASE_RENEWAL_INTERVAL } from './ownership-timing.js';
import { unitName, type Unit } from './ownership-table.js';
import { leaseOf, recordGrantSent } from './server-lease.js';
import { addressOf } from './server-succession.js';
import { callServer, probeServer } from './unit-calls.js';
import { tickReleasing } from './unit-control.js';

/** A unit whose grant or renewal is due. */
interface DueGrant {
  readonly unit: Unit;
  readonly progress: UnitProgress;
}

/** All units are renewed within this many ticks, which is half of the renewal interval if the ticks are on time. */
const TICKS_FOR_ALL_UNITS = 20;
/** Few units need no pacing. */
const MIN_GRANTS_PER_TICK = 8;

/** Makes the calls that are due for units: releases, probes of owners that left a call unanswered, and grants. */
export function tickUnits(context: RouterContext, leadership: Leadership): void {
  const { units } = leadership.table;
  const due: DueGrant[] = [];
  for (const unit of units) {
    const progress = leadership.unitProgress.get(unitName(unit));
    if (progress?.phase === 'releasing') {
      tickReleasing(context, leadership, unit, progress);
    } else if (progress !== undefined && isGrantWanted(leadership, unit, progress)) {
      if (needsProbe(context, leadership, unit)) {
        probeServer(context, leadership, unit, unit.owner);
      } else if (isGrantDue(context, leadership, unit, progress)) {
        due.push({ unit, progress });
      }
    }
  }
  due.sort((left, right) => left.progress.nextCallAt - right.progress.nextCallAt);
  const count = Math.max(MIN_GRANTS_PER_TICK, Math.ceil(units.length / TICKS_FOR_ALL_UNITS));
  due.splice(0, count).forEach(({ unit, progress }) => sendGrant(context, leadership, unit, progress));
  leadership.hasGrantBacklog = due.length > 0;
}

function isGrantWanted(leadership: Leadership, unit: Unit, progress: UnitProgress): boolean {
  return !leaseOf(leadership, unit.owner).ended && progress.callsInFlight === 0 && !progress.isFenceRefused;
}

function needsProbe(context: RouterContext, leadership: Leadership, { owner }: Unit): boolean {
  return leaseOf(leadership, owner).unanswered > 0 && !isBackingOff(context, owner);
}

function isGrantDue(
  context: RouterContext,
  leadership: Leadership,
  unit: Unit,
  progress: UnitProgress,
): boolean {
  return context.now >= progress.nextCallAt && !isWithdrawnByPendingWrite(leadership, unit, progress);
}

function sendGrant(context: RouterContext, leadership: Leadership, unit: Unit, progress: UnitProgress): void {
  const leaseDuration = Math.min(LEASE_DURATION, context.state.bounds.longestLease);
  progress.nextCallAt = context.now + LEASE_RENEWAL_INTERVAL;
  const isSent = callServer(context, leadership, unit, {
    action: 'grant',
    server: unit.owner,
    address: addressOf(context, leadership, unit.owner),
    fence: unit.fence,
    leaseDuration,
    timeout: GRANT_TIMEOUT,
  });
  if (isSent) {
    progress.callsInFlight += 1;
    progress.ownerMayHold = true;
    recordGrantSent(leaseOf(leadership, unit.owner), leaseDuration, context.now);
  }
}

/**
 * Returns whether the table write in progress takes the unit from its owner, as it may do while the owner has
 * never been granted it. The unit must not be granted to the owner in the meantime.
 */
function isWithdrawnByPendingWrite(leadership: Leadership, unit: Unit, progress: UnitProgress): boolean {
  if (leadership.pendingWrite === null || progress.ownerMayHold) {
    return false;
  }
  const { units } = leadership.pendingWrite.table;
  const name = unitName(unit);
  return !units.some((next) => unitName(next) === name && next.fence === unit.fence);
}

/**
 * Returns whether the server asked for a back-off. Probes count as requests and are withheld meanwhile;
 * renewals do not.
 */
function isBackingOff({ state, now }: RouterContext, server: ServerId): boolean {
  return (state.servers.get(server)?.backOff.left(now) ?? 0) > 0;
}
