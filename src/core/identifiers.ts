/**
 * Types of identifiers, as plain strings and numbers, and functions that compose and split the composite
 * ones.
 */

/** A daemon's id from its settings, for example `bilik-a-1`. Unique among the daemons of one side. */
export type DaemonId = string;
/** An upstream server's id from the routing configuration, for example `rakstatus-03`. */
export type ServerId = string;
/** The id of a control shard, which owns the ownership table of a part of a group: `<group>/<index>`. */
export type ShardId = string;
/** The number of a unit of ownership in its group: a hash slot, or a pinned key (numbers from `slots` up). */
export type UnitNumber = number;
/** The fencing token of one unit. Never decreases. */
export type Epoch = number;
/**
 * A duration or time in milliseconds, on the clock of the process that read it unless the name says
 * otherwise.
 */
export type Milliseconds = number;
/**
 * One incarnation of a daemon as a replica: `<daemon>#<incarnation>`. A restarted daemon is another replica.
 */
export type ReplicaId = string;

/** Returns the replica id of one incarnation of a daemon. */
export function replicaId(daemon: DaemonId, incarnation: number): ReplicaId {
  return `${daemon}#${incarnation}`;
}

/** Returns the daemon part of a replica id. */
export function daemonOfReplica(replica: ReplicaId): DaemonId {
  return replica.slice(0, replica.lastIndexOf('#'));
}

/** Returns the incarnation part of a replica id. */
export function incarnationOfReplica(replica: ReplicaId): number {
  return Number(replica.slice(replica.lastIndexOf('#') + 1));
}

/** Returns the id of the control shard at an index of a group. */
export function shardId(group: string, index: number): ShardId {
  return `${group}/${index}`;
}

/** Returns the group that a shard belongs to. */
export function groupOfShard(shard: ShardId): string {
  return shard.slice(0, shard.lastIndexOf('/'));
}

/** Returns the index of a shard within its group. */
export function indexOfShard(shard: ShardId): number {
  return Number(shard.slice(shard.lastIndexOf('/') + 1));
}

const SIDE_PREFIX = 'side:';

/** Returns the owner id under which an ownership table records another side. */
export function ownerIdOfSide(side: string): ServerId {
  return `${SIDE_PREFIX}${side}`;
}

/** Returns the side that an owner id stands for, or null when the owner is a server of this side. */
export function sideOfOwner(owner: ServerId): string | null {
  return owner.startsWith(SIDE_PREFIX) ? owner.slice(SIDE_PREFIX.length) : null;
}
