/**
 * The leader's work: confirm its leadership, write assignments, then carry them out at the servers. A unit
 * is granted only after its assignment is in the store, and only after its former owner has released it,
 * has ended, or is out of every lease. docs/design/ownership.md argues why that keeps one owner.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import { confirmLeadership } from './leader-confirmation.js';
import { tickIntake } from './leader-intake.js';
import { makePlan } from './leader-plan.js';
import type { Leadership } from './leadership-state.js';
import { CONFIRMATION_VALIDITY } from './ownership-timing.js';
import { leaseOf, noteEnded } from './server-lease.js';
import { broadcastView } from './ownership-statement.js';
import { retryWrite } from './table-write.js';
import { raiseRefusedFences, tickUnit } from './unit-control.js';

/** Between two statements of ownership: every daemon takes each of them in, so grants of a moment are told together. */
const BROADCAST_INTERVAL: Milliseconds = 60;

/** The leader's periodic work. */
export function tickLeader(context: RouterContext, leadership: Leadership): void {
  confirmLeadership(context, leadership);
  tickIntake(context, leadership);
  if (context.now - leadership.confirmedAt > CONFIRMATION_VALIDITY) {
    return;
  }
  retryWrite(context, leadership);
  if (leadership.write === null) {
    raiseRefusedFences(context, leadership);
  }
  if (leadership.write === null && context.now >= leadership.nextPlanAt) {
    makePlan(context, leadership);
  }
  for (const unit of leadership.table.units) {
    tickUnit(context, leadership, unit);
  }
  if (leadership.viewChanged && context.now >= leadership.nextBroadcastAt) {
    leadership.nextBroadcastAt = context.now + BROADCAST_INTERVAL;
    broadcastView(context, leadership);
  }
}

/** Called when leadership begins and whenever the list of servers changes. */
export function noteServers(context: RouterContext, leadership: Leadership): void {
  const { servers } = context.state;
  const listedAt = new Map<string, ServerId>();
  for (const { server } of servers.values()) {
    leadership.addresses.set(server.id, server.address);
    listedAt.set(server.address, server.id);
  }
  for (const [id, address] of leadership.addresses) {
    const holder = listedAt.get(address);
    if (holder !== undefined && !servers.has(id) && !leaseOf(leadership, id).ended) {
      // An address passes on only after the server that had it has ended.
      noteEnded(leadership, id);
      context.log('server_ended', { server: id, address, successor: holder });
    }
  }
  leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
}
