/**
 * A daemon's copy of every shard's ownership table, as its shard's leader last published it.
 */
import type { DaemonId, Milliseconds, ReplicaId, ShardId, UnitNumber } from '../identifiers.js';
import { createOwnershipTable, type OwnershipTable } from '../ownership/ownership-table.js';

/** The copy of one shard's table. */
export interface ShardTable {
  generation: number;
  /** Index of the newest log entry the copy contains. */
  version: number;
  leader: DaemonId;
  replicas: readonly ReplicaId[];
  table: OwnershipTable;
}

export interface TableView {
  readonly shards: Map<ShardId, ShardTable>;
  /** Units of pinned keys, by group. */
  readonly pins: Map<string, Map<string, UnitNumber>>;
  /** Sum of the hashes of all (shard, generation, version), modulo 2^32. */
  digest: number;
  nextPullAt: Milliseconds;
  /** Configuration version that each peer last said it has in force. */
  readonly peerVersions: Map<DaemonId, number>;
}

/** Knows no table. */
export function createTableView(): TableView {
  return { shards: new Map(), pins: new Map(), digest: 0, nextPullAt: 0, peerVersions: new Map() };
}

/** The copy of a shard's table; an empty one is made if there is none. */
export function shardTableOf(view: TableView, shard: ShardId): ShardTable {
  let known = view.shards.get(shard);
  if (known === undefined) {
    known = { generation: 0, version: 0, leader: '', replicas: [], table: createOwnershipTable() };
    view.shards.set(shard, known);
  }
  return known;
}
