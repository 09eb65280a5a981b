/**
 * Names of things, as plain strings and numbers with a type each, and the one composite name: a replica.
 */

/** A daemon's name from its settings, for example `bilik-a-1`. Unique among the daemons of one side. */
export type DaemonId = string;
/** A back-end server's name from the routing configuration, for example `rakstatus-03`. */
export type ServerId = string;
/** A control shard: `<group>/<index>`. */
export type ShardId = string;
/** Number of a unit of ownership inside its group: a hash slot, or a pinned key (numbers from `slots` up). */
export type UnitNumber = number;
/** Fencing token of one unit. Only ever grows. */
export type Epoch = number;
/** Milliseconds, on the clock of the process that read it unless the name says otherwise. */
export type Milliseconds = number;
/** One life of a daemon as a replica: `<daemon>#<incarnation>`. A restarted daemon is another replica. */
export type ReplicaId = string;

/** Joins a daemon's name and the incarnation of its present life into a replica id. */
export function replicaId(daemon: DaemonId, incarnation: number): ReplicaId {
  return `${daemon}#${incarnation}`;
}

/** The daemon part of a replica id. */
export function daemonOfReplica(replica: ReplicaId): DaemonId {
  return replica.slice(0, replica.lastIndexOf('#'));
}

/** The incarnation part of a replica id. */
export function incarnationOfReplica(replica: ReplicaId): number {
  return Number(replica.slice(replica.lastIndexOf('#') + 1));
}

/** The id of a group's control shard. */
export function shardId(group: string, index: number): ShardId {
  return `${group}/${index}`;
}

/** The group a shard belongs to. */
export function groupOfShard(shard: ShardId): string {
  return shard.slice(0, shard.lastIndexOf('/'));
}

/** The position of a shard within its group. */
export function indexOfShard(shard: ShardId): number {
  return Number(shard.slice(shard.lastIndexOf('/') + 1));
}

const SIDE_PREFIX = 'side:';

/** How a table names another side as the owner of a unit. */
export function sideAsOwner(side: string): ServerId {
  return `${SIDE_PREFIX}${side}`;
}

/** The other side that owns a unit, or null when a server of this side does. */
export function ownerSide(owner: ServerId): string | null {
  return owner.startsWith(SIDE_PREFIX) ? owner.slice(SIDE_PREFIX.length) : null;
}
