/**
 * A daemon's copies of all shards' ownership tables, as last published by the leader of each shard.
 */
import type { DaemonId, Milliseconds, ReplicaId, ShardId, UnitNumber } from '../identifiers.js';
import { createOwnershipTable, type OwnershipTable } from '../ownership/ownership-table.js';

/** A copy of one shard's ownership table. */
export interface ShardTable {
  generation: number;
  /** The index of the newest log entry that the copy contains. */
  version: number;
  leader: DaemonId;
  replicas: readonly ReplicaId[];
  table: OwnershipTable;
}

export interface TableView {
  readonly shards: Map<ShardId, ShardTable>;
  /** The unit of each pinned key, by group. */
  readonly pins: Map<string, Map<string, UnitNumber>>;
  /** The sum of the hashes of all (shard, generation, version), modulo 2^32. */
  digest: number;
  nextPullAt: Milliseconds;
  /** The configuration version that each peer last reported as in effect. */
  readonly peerConfigurationVersions: Map<DaemonId, number>;
}

/** Creates a view without tables. */
export function createTableView(): TableView {
  return {
    shards: new Map(),
    pins: new Map(),
    digest: 0,
    nextPullAt: 0,
    peerConfigurationVersions: new Map(),
  };
}

/** Returns the copy of a shard's table, after creating an empty copy if there is none. */
export function getOrCreateShardTable(view: TableView, shard: ShardId): ShardTable {
  let known = view.shards.get(shard);
  if (known === undefined) {
    known = { generation: 0, version: 0, leader: '', replicas: [], table: createOwnershipTable() };
    view.shards.set(shard, known);
  }
  return known;
}
