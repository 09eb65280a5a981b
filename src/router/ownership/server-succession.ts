/**
 * Which server listens at the address of one that has ended. It may have accepted grants that were meant for the ended server, so the
 * keys are free only once it has released them or the grants have expired, however the leader learned of it.
 */
import type { Address } from '../model/address.js';
import type { ServerId } from '../model/identifiers.js';
import { buildServerId, instanceOf, type InstanceName } from '../model/server-incarnation.js';
import type { RouterContext } from '../router-context.js';
import { findUnreachedServers } from './first-contact.js';
import type { Leadership, PendingCall } from './leadership-state.js';
import { leaseOf, recordEnded } from './server-lease.js';

/** Returns the address to which calls to a server are sent, or undefined if the server was never listed. */
export function addressOf(
  { state }: RouterContext,
  leadership: Leadership,
  server: ServerId,
): Address | undefined {
  return state.servers.get(server)?.server.address ?? leadership.addresses.get(server);
}

/** Returns the server that listens at the address of one that has ended, or undefined if it is not known. */
export function successorOf(
  context: RouterContext,
  leadership: Leadership,
  server: ServerId,
): ServerId | undefined {
  const address = addressOf(context, leadership, server);
  return address === undefined ? undefined : leadership.successors.get(address);
}

/** Records that a call reached another server than it was meant for. `instance` is the name that this server stated, or null. */
export function recordOtherInstance(
  { state }: RouterContext,
  leadership: Leadership,
  { server, address }: Pick<PendingCall, 'server' | 'address'>,
  instance: InstanceName | null,
): void {
  recordEnded(leadership, server);
  if (instance === null) {
    leadership.successors.delete(address);
    return;
  }
  const listed = state.serverIdsByInstance.get(instance);
  leadership.successors.set(address, listed ?? buildServerId(instance, null));
}

/**
 * Records the listed servers and the successors of ended ones. Called when leadership begins and whenever the
 * server list changes.
 */
export function recordServerList(context: RouterContext, leadership: Leadership): void {
  const { servers } = context.state;
  const listedAt = new Map<Address, ServerId>();
  for (const { server } of servers.values()) {
    leadership.addresses.set(server.id, server.address);
    listedAt.set(server.address, server.id);
  }
  for (const owner of knownOwners(leadership)) {
    if (!servers.has(owner)) {
      recordListedSuccessor(context, leadership, owner, listedAt);
    }
  }
  findUnreachedServers(context, leadership);
  leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
}

/** Records that a server that is no longer listed has ended if another one has its address or its name. */
function recordListedSuccessor(
  context: RouterContext,
  leadership: Leadership,
  server: ServerId,
  listedAt: ReadonlyMap<Address, ServerId>,
): void {
  const { servers, serverIdsByInstance } = context.state;
  const nextIncarnation = serverIdsByInstance.get(instanceOf(server));
  // A server that this leader never saw listed is taken to have restarted in place.
  const address = leadership.addresses.get(server) ?? servers.get(nextIncarnation ?? server)?.server.address;
  const successor = address === undefined ? undefined : listedAt.get(address);
  if (address === undefined || (successor === undefined && nextIncarnation === undefined)) {
    return;
  }
  leadership.addresses.set(server, address);
  if (successor !== undefined) {
    leadership.successors.set(address, successor);
  }
  if (!leaseOf(leadership, server).ended) {
    recordEnded(leadership, server);
    context.log('server_ended', { server, address, successor: successor ?? nextIncarnation });
  }
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
