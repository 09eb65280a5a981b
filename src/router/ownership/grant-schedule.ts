/**
 * Sends grants and renewals, the earliest due first, with a bounded number in progress. A leader has to make as many calls as there are
 * units at the start of its term. Made in one go, those that a slow machine has not written within their timeout would never be sent.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership, UnitProgress } from './leadership-state.js';
import { GRANT_TIMEOUT, LEASE_DURATION, LEASE_RENEWAL_INTERVAL } from './ownership-timing.js';
import { unitName, type Unit } from './ownership-table.js';
import { isConfirmed } from './leader-confirmation.js';
import { leaseOf, recordGrantSent } from './server-lease.js';
import { addressOf } from './server-succession.js';
import { callServer, probeServer } from './unit-calls.js';
import { tickReleasing } from './unit-control.js';

/** A quarter of a core writes this many calls within a third of their timeout, also while its code is not compiled yet. */
const MAX_GRANTS_IN_PROGRESS = 24;

/** Makes the calls that are due for units: releases, probes of owners that left a call unanswered, and grants. */
export function tickUnits(context: RouterContext, leadership: Leadership): void {
  const due: Unit[] = [];
  for (const unit of leadership.table.units) {
    const progress = leadership.unitProgress.get(unitName(unit));
    if (progress?.phase === 'releasing') {
      tickReleasing(context, leadership, unit, progress);
    } else if (progress !== undefined && isGrantWanted(leadership, unit, progress)) {
      if (needsProbe(context, leadership, unit)) {
        probeServer(context, leadership, unit, unit.owner);
      } else if (isGrantDue(context, leadership, unit, progress)) {
        due.push(unit);
      }
    }
  }
  const dueAt = (unit: Unit): Milliseconds => leadership.unitProgress.get(unitName(unit))?.nextCallAt ?? 0;
  leadership.dueGrants = due.sort((left, right) => dueAt(left) - dueAt(right));
  sendDueGrants(context, leadership);
}

/** Sends grants that are due, as long as the leadership is confirmed and few enough are in progress. */
export function sendDueGrants(context: RouterContext, leadership: Leadership): void {
  const { pendingCalls, dueGrants } = leadership;
  if (!isConfirmed(context, leadership)) {
    return;
  }
  let inProgress = 0;
  for (const { action } of pendingCalls.values()) {
    inProgress += action === 'grant' ? 1 : 0;
  }
  while (inProgress < MAX_GRANTS_IN_PROGRESS) {
    const unit = dueGrants.shift();
    if (unit === undefined) {
      return;
    }
    const progress = leadership.unitProgress.get(unitName(unit));
    // The table may have changed since the last tick.
    const isCurrent = progress?.fence === unit.fence && progress.phase !== 'releasing';
    if (
      isCurrent &&
      isGrantWanted(leadership, unit, progress) &&
      isGrantDue(context, leadership, unit, progress)
    ) {
      inProgress += sendGrant(context, leadership, unit, progress) ? 1 : 0;
    }
  }
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
  return (
    context.now >= progress.nextCallAt &&
    !needsProbe(context, leadership, unit) &&
    !isWithdrawnByPendingWrite(leadership, unit, progress)
  );
}

/** Sends a grant. Returns whether the owner's address is known. */
function sendGrant(
  context: RouterContext,
  leadership: Leadership,
  unit: Unit,
  progress: UnitProgress,
): boolean {
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
  return isSent;
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
