/**
 * The leader's work: confirm its leadership, write assignments, then carry them out at the servers. A unit
 * is granted only after its assignment is in the store, and only after its former owner has released it,
 * has ended, or is out of every lease. docs/design/ownership.md argues why that keeps one owner.
 */
import type { RouterContext } from '../router-context.js';
import { confirmLeadership } from './leader-confirmation.js';
import { tickFollowers } from './leader-followers.js';
import { makePlan } from './leader-plan.js';
import type { Leadership } from './leadership-state.js';
import { CONFIRMATION_VALIDITY } from './ownership-timing.js';
import { retryWrite } from './table-write.js';
import { tickUnit } from './unit-control.js';

/** The leader's periodic work. */
export function tickLeader(context: RouterContext, leadership: Leadership): void {
  confirmLeadership(context, leadership);
  if (context.now - leadership.confirmedAt > CONFIRMATION_VALIDITY) {
    return;
  }
  retryWrite(context, leadership);
  if (leadership.write === null && context.now >= leadership.nextPlanAt) {
    makePlan(context, leadership);
  }
  for (const unit of leadership.table.units) {
    tickUnit(context, leadership, unit);
  }
  tickFollowers(context, leadership);
}

/** Called when leadership begins and whenever the list of servers changes. */
export function noteServers(context: RouterContext, leadership: Leadership): void {
  for (const { server } of context.state.servers.values()) {
    leadership.addresses.set(server.id, server.address);
  }
  leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
}
