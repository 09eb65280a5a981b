/**
 * The propagation tree for updates: the members sorted by id and rotated so that the root comes first, each
 * with a fixed number of children. Every member computes the tree on its own. When two members have different
 * views of the membership, a subtree may miss an update; the digests on pings repair that.
 */
import type { ReducerContext } from '../context.js';
import type { DaemonId } from '../identifiers.js';
import { aliveMembers } from '../membership/membership.js';
import type { PeerMessage } from '../messages.js';

/** The number of children of each member: four steps reach 570 members. */
export const PROPAGATION_FANOUT = 6;

/** Returns the children of a member in the propagation tree of a root. */
export function childrenInTree(members: readonly DaemonId[], root: DaemonId, self: DaemonId): DaemonId[] {
  const rootIndex = members.indexOf(root);
  const selfIndex = members.indexOf(self);
  if (rootIndex < 0 || selfIndex < 0) {
    return [];
  }
  const position = (selfIndex - rootIndex + members.length) % members.length;
  const children: DaemonId[] = [];
  for (let branch = 1; branch <= PROPAGATION_FANOUT; branch += 1) {
    const child = position * PROPAGATION_FANOUT + branch;
    if (child < members.length) {
      children.push(members[(child + rootIndex) % members.length] as DaemonId);
    }
  }
  return children;
}

/** Sends a message to this daemon's children in the propagation tree of a root. */
export function propagate(context: ReducerContext, root: DaemonId, message: PeerMessage): void {
  const { membership } = context.state;
  const members = aliveMembers(membership).map((member) => member.id);
  for (const child of childrenInTree(members, root, membership.self.id)) {
    context.send(child, message);
  }
}
