/**
 * Which units and which servers belong to which control shard. A server belongs to exactly one shard, so
 * the lease renewals of all servers together do not grow with the number of shards.
 */
import { indexOfShard, shardId, type ShardId, type UnitNumber } from '../identifiers.js';
import type {
  GroupConfiguration,
  RoutingConfiguration,
  ServerConfiguration,
} from './routing-configuration.js';

/** The shard of a unit. Holds for pinned keys too: their numbers keep the slot's remainder. */
export function shardOfUnit(group: GroupConfiguration, unit: UnitNumber): ShardId {
  return shardId(group.name, unit % group.shards);
}

/** The hash slots of a shard. */
export function unitsOfShard(group: GroupConfiguration, shard: ShardId): UnitNumber[] {
  const index = indexOfShard(shard);
  const count = group.slots / group.shards;
  return Array.from({ length: count }, (_, position) => position * group.shards + index);
}

/** The servers of each shard of a group, dealt out by name in turn. */
function dealServers(group: GroupConfiguration): [ShardId, ServerConfiguration[]][] {
  const byName = [...group.servers].sort((left, right) => (left.id < right.id ? -1 : 1));
  return Array.from({ length: group.shards }, (_, index) => [
    shardId(group.name, index),
    byName.filter((_server, position) => position % group.shards === index),
  ]);
}

/** The servers of every shard of a configuration. */
export function serversByShard(
  configuration: RoutingConfiguration,
): Map<ShardId, readonly ServerConfiguration[]> {
  const keyed = configuration.groups.filter((group) => group.kind === 'keyed');
  return new Map(keyed.flatMap(dealServers));
}

/** Every control shard of a configuration. */
export function shardsOf(configuration: RoutingConfiguration): ShardId[] {
  const keyed = configuration.groups.filter((group) => group.kind === 'keyed');
  return keyed.flatMap((group) =>
    Array.from({ length: group.shards }, (_, index) => shardId(group.name, index)),
  );
}
