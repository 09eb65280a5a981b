/**
 * Mapping of units and servers to control shards. A server belongs to exactly one shard, so the total number
 * of lease renewals does not grow with the number of shards.
 */
import { indexOfShard, shardId, type ShardId, type UnitNumber } from '../identifiers.js';
import type {
  GroupConfiguration,
  RoutingConfiguration,
  ServerConfiguration,
} from './routing-configuration.js';

/**
 * Returns the shard of a unit, also for a pinned key: its unit number has the same remainder modulo `shards`
 * as its hash slot.
 */
export function shardOfUnit(group: GroupConfiguration, unit: UnitNumber): ShardId {
  return shardId(group.name, unit % group.shards);
}

/** Returns the hash slots of a shard. */
export function unitsOfShard(group: GroupConfiguration, shard: ShardId): UnitNumber[] {
  const index = indexOfShard(shard);
  const count = group.slots / group.shards;
  return Array.from({ length: count }, (_, position) => position * group.shards + index);
}

/** Distributes the servers of a group over its shards round-robin, in the order of their ids. */
function distributeServers(group: GroupConfiguration): [ShardId, ServerConfiguration[]][] {
  const byName = [...group.servers].sort((left, right) => (left.id < right.id ? -1 : 1));
  return Array.from({ length: group.shards }, (_, index) => [
    shardId(group.name, index),
    byName.filter((_server, position) => position % group.shards === index),
  ]);
}

/** Returns the servers of every shard of a configuration. */
export function serversByShard(
  configuration: RoutingConfiguration,
): Map<ShardId, readonly ServerConfiguration[]> {
  const keyed = configuration.groups.filter((group) => group.kind === 'keyed');
  return new Map(keyed.flatMap(distributeServers));
}

/** Returns every control shard of a configuration. */
export function shardsOf(configuration: RoutingConfiguration): ShardId[] {
  const keyed = configuration.groups.filter((group) => group.kind === 'keyed');
  return keyed.flatMap((group) =>
    Array.from({ length: group.shards }, (_, index) => shardId(group.name, index)),
  );
}
