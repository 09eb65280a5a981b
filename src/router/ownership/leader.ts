/**
 * Periodic work of the leader: it confirms its leadership, writes assignments to the store, and then carries
 * them out at the servers. A unit is granted only after its assignment is in the store and its former owner
 * has released it, has ended, or holds no lease any more. docs/design/ownership.md argues why this gives
 * every key at most one owner.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { instanceOf } from '../model/server-incarnation.js';
import type { RouterContext } from '../router-context.js';
import { confirmLeadership } from './leader-confirmation.js';
import { tickReportAggregation } from './report-aggregation.js';
import { planAssignments } from './leader-plan.js';
import type { Leadership } from './leadership-state.js';
import { LEADERSHIP_VALIDITY } from './ownership-timing.js';
import { leaseOf, recordSuccessor } from './server-lease.js';
import { broadcastView } from './ownership-broadcast.js';
import { retryWrite } from './table-write.js';
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
  if (leadership.viewChanged && context.now >= leadership.nextBroadcastAt) {
    leadership.nextBroadcastAt = context.now + VIEW_BROADCAST_INTERVAL;
    broadcastView(context, leadership);
  }
}

/**
 * Records the listed servers and the successors of ended ones. Called when leadership begins and whenever the
 * server list changes.
 */
export function recordServerList(context: RouterContext, leadership: Leadership): void {
  const { servers, serverIdsByInstance } = context.state;
  const listedAt = new Map<string, ServerId>();
  for (const { server } of servers.values()) {
    leadership.addresses.set(server.id, server.address);
    listedAt.set(server.address, server.id);
  }
  for (const owner of knownOwners(leadership)) {
    // An address or a name is reused only after the server that had it has ended.
    const address = leadership.addresses.get(owner);
    const successor =
      serverIdsByInstance.get(instanceOf(owner)) ??
      (address === undefined ? undefined : listedAt.get(address));
    const { ended } = leaseOf(leadership, owner);
    if (successor !== undefined && !servers.has(owner) && !ended) {
      recordSuccessor(leadership, owner, successor);
      context.log('server_ended', { server: owner, address, successor });
    }
  }
  leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
}

/**
 * Returns the servers that own keys or must release some first, and those that were listed during this
 * leadership.
 */
function knownOwners({ table, addresses }: Leadership): Set<ServerId> {
  const owners = new Set(addresses.keys());
  for (const { owner, releasing } of table.units) {
    owners.add(owner);
    if (releasing !== null) {
      owners.add(releasing);
    }
  }
  return owners;
}
