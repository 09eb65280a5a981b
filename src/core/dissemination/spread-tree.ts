/**
 * The tree along which news spreads: members in order of name, turned so that the sender is first, each
 * with a fixed number of children. Every member works the tree out alone; where two members see different
 * memberships a branch may be missed, and the digests on pings repair it.
 */
import type { ReducerContext } from '../context.js';
import type { DaemonId } from '../identifiers.js';
import { aliveMembers } from '../membership/membership.js';
import type { PeerMessage } from '../messages.js';

/** Children of each member: 570 members are reached in four steps. */
export const SPREAD_FANOUT = 6;

/** The members that one member passes news on to, in the tree of a root. */
export function childrenInTree(members: readonly DaemonId[], root: DaemonId, self: DaemonId): DaemonId[] {
  const rootIndex = members.indexOf(root);
  const selfIndex = members.indexOf(self);
  if (rootIndex < 0 || selfIndex < 0) {
    return [];
  }
  const position = (selfIndex - rootIndex + members.length) % members.length;
  const children: DaemonId[] = [];
  for (let branch = 1; branch <= SPREAD_FANOUT; branch += 1) {
    const child = position * SPREAD_FANOUT + branch;
    if (child < members.length) {
      children.push(members[(child + rootIndex) % members.length] as DaemonId);
    }
  }
  return children;
}

/** Passes a message on along the tree of its root. */
export function spread(context: ReducerContext, root: DaemonId, message: PeerMessage): void {
  const { membership } = context.state;
  const members = aliveMembers(membership).map((member) => member.id);
  for (const child of childrenInTree(members, root, membership.self.id)) {
    context.send(child, message);
  }
}
