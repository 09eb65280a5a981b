/**
 * The leader's work: confirm its leadership, write assignments, then carry them out at the servers. A unit
 * is granted only after its assignment is in the store, and only after its former owner has released it,
 * has ended, or is out of every lease. docs/design/ownership.md argues why that keeps one owner.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { instanceOf } from '../model/server-life.js';
import type { RouterContext } from '../router-context.js';
import { confirmLeadership } from './leader-confirmation.js';
import { tickIntake } from './leader-intake.js';
import { makePlan } from './leader-plan.js';
import type { Leadership } from './leadership-state.js';
import { CONFIRMATION_VALIDITY } from './ownership-timing.js';
import { leaseOf, noteSucceeded } from './server-lease.js';
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
  const { servers, lives } = context.state;
  const listedAt = new Map<string, ServerId>();
  for (const { server } of servers.values()) {
    leadership.addresses.set(server.id, server.address);
    listedAt.set(server.address, server.id);
  }
  for (const owner of ownersOf(leadership)) {
    // An address passes on only after the server that had it has ended, and so does a name.
    const address = leadership.addresses.get(owner);
    const successor =
      lives.get(instanceOf(owner)) ?? (address === undefined ? undefined : listedAt.get(address));
    const { ended } = leaseOf(leadership, owner);
    if (successor !== undefined && !servers.has(owner) && !ended) {
      noteSucceeded(leadership, owner, successor);
      context.log('server_ended', { server: owner, address, successor });
    }
  }
  leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
}

/** Servers that own keys, or must release some first, and those that were listed. */
function ownersOf({ table, addresses }: Leadership): Set<ServerId> {
  const owners = new Set(addresses.keys());
  for (const { owner, releasing } of table.units) {
    owners.add(owner);
    if (releasing !== null) {
      owners.add(releasing);
    }
  }
  return owners;
}
