/**
 * Periodic work of the leader: it confirms its leadership, writes assignments to the store, and then carries
 * them out at the servers. A unit is granted only after its assignment is in the store and its former owner
 * has released it, has ended, or holds no lease any more. docs/design/ownership.md argues why this gives
 * every key at most one owner.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import { confirmLeadership } from './leader-confirmation.js';
import { tickReportAggregation } from './report-aggregation.js';
import { planAssignments } from './leader-plan.js';
import type { Leadership } from './leadership-state.js';
import { tickLeaseLog } from './lease-log.js';
import { LEADERSHIP_VALIDITY } from './ownership-timing.js';
import { broadcastView } from './ownership-broadcast.js';
import { retryWrite } from './table-write.js';
import { tickPathHandover } from './path-handover.js';
import { tickSilentServers } from './silent-servers.js';
import { raiseRefusedFences, tickUnit } from './unit-control.js';

/**
 * Shortest interval between two broadcasts of ownership. Every daemon processes each broadcast, so grants
 * that are close in time are sent together.
 */
const VIEW_BROADCAST_INTERVAL: Milliseconds = 60;

/** Does the leader's periodic work. */
export function tickLeader(context: RouterContext, leadership: Leadership): void {
  confirmLeadership(context, leadership);
  tickReportAggregation(context, leadership);
  if (context.now - leadership.confirmedAt > LEADERSHIP_VALIDITY) {
    return;
  }
  retryWrite(context, leadership);
  if (leadership.pendingWrite === null) {
    raiseRefusedFences(context, leadership);
  }
  if (leadership.pendingWrite === null && context.now >= leadership.nextPlanAt) {
    planAssignments(context, leadership);
  }
  for (const unit of leadership.table.units) {
    tickUnit(context, leadership, unit);
  }
  tickSilentServers(context, leadership);
  tickLeaseLog(context, leadership);
  if (leadership.viewChanged && context.now >= leadership.nextBroadcastAt) {
    leadership.nextBroadcastAt = context.now + VIEW_BROADCAST_INTERVAL;
    broadcastView(context, leadership);
  }
  tickPathHandover(context, leadership);
}
