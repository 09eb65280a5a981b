/**
 * Replaces lost replicas of a shard by membership changes in its replicated log, one at a time: the lost
 * replica is removed, then a new one is added. This works while the store is down, within the
 * limit that `mayAddReplica` sets.
 */
import { propose } from '../consensus/replication.js';
import type { ShardReplica } from '../consensus/shard-replica.js';
import type { ReducerContext } from '../context.js';
import {
  daemonOfReplica,
  groupOfShard,
  incarnationOfReplica,
  type Milliseconds,
  type ReplicaId,
} from '../identifiers.js';
import { createEmptyChange, type Member } from '../messages.js';
import { aliveMembers, isAlive } from '../membership/membership.js';
import { mayAddReplica, currentReplicaId } from './shard-checkpoint.js';
import { chooseReplicas } from './shard-formation.js';

function isLost(context: ReducerContext, replica: ShardReplica, id: ReplicaId): boolean {
  if (id === replica.self) {
    return false;
  }
  const { membership, timing } = context.state;
  const lastReplyAt = replica.progress.get(id)?.lastReplyAt ?? context.now;
  const isUnresponsive = context.now - lastReplyAt >= timing.replicaReplacementDelay;
  const isAbsent = !isAlive(membership, daemonOfReplica(id), incarnationOfReplica(id));
  return isAbsent && isUnresponsive;
}

function chooseReplacement(
  context: ReducerContext,
  replica: ShardReplica,
  count: number,
): Member | undefined {
  const { membership } = context.state;
  const daemons = replica.log.replicas.map(daemonOfReplica);
  const members = daemons.map((id) => membership.members.get(id)).filter((member) => member !== undefined);
  const zones = new Set(members.map((member) => member.zone));
  const availableMembers = aliveMembers(membership).filter(
    (member) => member.status === 'alive' && !daemons.includes(member.id),
  );
  const inOtherZones = availableMembers.filter((member) => !zones.has(member.zone));
  const candidates = inOtherZones.length > 0 ? inOtherZones : availableMembers;
  return chooseReplicas(replica.shard, candidates, count)[0];
}

/** Interval between two checks of a shard's replica set. */
const REPAIR_INTERVAL: Milliseconds = 100;

/** Returns whether the log contains a change of the replica set that is not committed. */
function hasPendingReplicaChange(replica: ShardReplica): boolean {
  const { log, commitIndex } = replica;
  return log.replicasAt(commitIndex).join() !== log.replicas.join();
}

/** Periodically removes a lost replica or adds a missing one, at most one change at a time. */
export function tickReplicaRepair(context: ReducerContext, replica: ShardReplica): void {
  const leadership = context.state.leaderships.get(replica.shard);
  const group = context.state.configuration.groups.get(groupOfShard(replica.shard));
  if (leadership?.ready !== true || group === undefined || context.now < leadership.nextRepairAt) {
    return;
  }
  leadership.nextRepairAt = context.now + REPAIR_INTERVAL;
  if (hasPendingReplicaChange(replica)) {
    return;
  }
  const { replicas } = replica.log;
  const lost = replicas.find((id) => isLost(context, replica, id));
  if (lost !== undefined) {
    context.log('warn', `shard ${replica.shard}: removing lost replica ${lost}`);
    propose(
      context,
      replica,
      createEmptyChange(),
      replicas.filter((id) => id !== lost),
    );
    return;
  }
  const replacement = replicas.length < group.replicas ? chooseReplacement(context, replica, 1) : undefined;
  const added = replacement === undefined ? undefined : currentReplicaId(replacement);
  if (added !== undefined && mayAddReplica(leadership, replicas, added)) {
    context.log('info', `shard ${replica.shard}: adding replica ${added}`);
    propose(context, replica, createEmptyChange(), [...replicas, added]);
  }
}
