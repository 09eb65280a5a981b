/**
 * Periodic work of the leader: it confirms its leadership, writes assignments to the store, and then carries
 * them out at the servers. A unit is granted only after its assignment is in the store and its former owner
 * has released it, has ended, or holds no lease any more. docs/design/ownership.md argues why this gives
 * every key at most one owner.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import { delaysPlan, tickFirstContacts } from './first-contact.js';
import { tickUnits } from './grant-schedule.js';
import { confirmLeadership, isConfirmed } from './leader-confirmation.js';
import { tickReportAggregation } from './report-aggregation.js';
import { planAssignments } from './leader-plan.js';
import type { Leadership } from './leadership-state.js';
import { tickLeaseLog } from './lease-log.js';
import { broadcastView } from './ownership-broadcast.js';
import { retryWrite } from './table-write.js';
import { tickRepeatedReleases } from './repeated-releases.js';
import { tickPathHandover } from './path-handover.js';
import { tickSilentServers } from './silent-servers.js';
import { raiseRefusedFences } from './unit-control.js';

/**
 * Shortest interval between two broadcasts of ownership. Every daemon processes each broadcast, so grants
 * that are close in time are sent together.
 */
const VIEW_BROADCAST_INTERVAL: Milliseconds = 60;
/** Longest time for which grants that are due delay a plan. */
const MAX_PLAN_DELAY: Milliseconds = 500;

/**
 * Returns whether to plan now. A plan takes processor time, so that it waits for grants that are due, but not for long. Nor does it leave
 * out servers that are about to answer for the first time.
 */
function isPlanDue(context: RouterContext, leadership: Leadership): boolean {
  const { nextPlanAt, hasGrantBacklog } = leadership;
  const isDelayedByGrants = hasGrantBacklog && context.now < nextPlanAt + MAX_PLAN_DELAY;
  return context.now >= nextPlanAt && !isDelayedByGrants && !delaysPlan(context, leadership);
}

/** Does the leader's periodic work. What keeps leases alive comes first. */
export function tickLeader(context: RouterContext, leadership: Leadership): void {
  confirmLeadership(context, leadership);
  tickReportAggregation(context, leadership);
  if (!isConfirmed(context, leadership)) {
    return;
  }
  tickUnits(context, leadership);
  tickFirstContacts(context, leadership);
  retryWrite(context, leadership);
  if (leadership.pendingWrite === null) {
    raiseRefusedFences(context, leadership);
  }
  if (leadership.pendingWrite === null && isPlanDue(context, leadership)) {
    planAssignments(context, leadership);
  }
  tickRepeatedReleases(context, leadership);
  tickSilentServers(context, leadership);
  tickLeaseLog(context, leadership);
  if (leadership.viewChanged && context.now >= leadership.nextBroadcastAt) {
    leadership.nextBroadcastAt = context.now + VIEW_BROADCAST_INTERVAL;
    broadcastView(context, leadership);
  }
  tickPathHandover(context, leadership);
}
