/** A daemon's parent: the leader, or a relay to which the leader redirected it. A daemon that loses its relay reconnects to the leader. */
import type { ParentLinkClosedEvent } from '../events.js';
import type { Address } from '../model/address.js';
import type { Milliseconds } from '../model/identifiers.js';
import { HEARTBEAT_TIMEOUT } from '../ownership/ownership-timing.js';
import type { Redirect } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import { hasRelayParent } from './tree-state.js';

/** Time within which a daemon that has left its relay receives a heartbeat from the leader, if there is one. */
const LEADER_GRACE_PERIOD: Milliseconds = 400;

/** Connects to another parent, or disconnects if `address` is null. */
export function connectToParent(context: RouterContext, address: Address | null): void {
  const { tree } = context.state;
  tree.parent = address;
  tree.parentSince = context.now;
  tree.watchers = [];
  context.emit({ kind: 'follow', address });
}

/** Connects to a new leader, except below a relay that still sends heartbeats: the relay connects to the new leader itself. */
export function followLeader(context: RouterContext, address: Address): void {
  const { tree } = context.state;
  const isRelayResponsive = tree.wasRedirected && context.now - tree.lastParentContactAt <= HEARTBEAT_TIMEOUT;
  if (tree.parent === null || !isRelayResponsive) {
    connectToParent(context, address);
  }
}

/** Connects to the relay to which the leader redirects this daemon. */
export function receiveRedirect(context: RouterContext, { address }: Redirect): void {
  const { tree, identity } = context.state;
  if (address === identity.peerAddress || address === tree.parent) {
    return;
  }
  context.log('relay_followed', { relay: address });
  tree.lastParentContactAt = context.now;
  tree.wasRedirected = true;
  connectToParent(context, address);
}

function returnToLeader(context: RouterContext, reason: string): void {
  const { tree, election } = context.state;
  const leader = election.leader?.address ?? null;
  context.log('relay_left', { relay: tree.parent, reason });
  tree.failedRelay = tree.parent ?? '';
  tree.leaderGraceUntil = context.now + LEADER_GRACE_PERIOD;
  connectToParent(context, leader);
}

/** Leaves a relay that has become unresponsive. */
export function tickParent(context: RouterContext): void {
  const { tree } = context.state;
  if (
    hasRelayParent(context.state.tree, context.state.election.leader?.address) &&
    context.now - tree.lastParentContactAt > HEARTBEAT_TIMEOUT
  ) {
    returnToLeader(context, 'silent');
  }
}

/** Handles that the connection to the parent has ended or could not be opened. */
export function receiveParentClosed(context: RouterContext, event: ParentLinkClosedEvent): void {
  if (
    event.address === context.state.tree.parent &&
    hasRelayParent(context.state.tree, context.state.election.leader?.address)
  ) {
    returnToLeader(context, event.refused ? 'refused' : 'closed');
  }
}
