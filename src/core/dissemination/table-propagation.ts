/**
 * Propagates changes of ownership tables to every daemon, and repairs copies that missed a change.
 */
import type { ShardReplica } from '../consensus/shard-replica.js';
import type { ReducerContext } from '../context.js';
import { hash32 } from '../hashing.js';
import { groupOfShard, type DaemonId, type ShardId } from '../identifiers.js';
import { createEmptyChange, type ShardVersion, type TableChange, type TableDelta } from '../messages.js';
import { applyChange, createOwnershipTable, tableAsChange } from '../ownership/ownership-table.js';
import { propagate } from './propagation-tree.js';
import { getOrCreateShardTable, type ShardTable, type TableView } from './table-view.js';

/** Returns a digest of the versions of all shards' tables. */
export function tableDigest(view: TableView): number {
  return view.digest;
}

function hashTableVersion(shard: ShardId, known: ShardTable): number {
  return known.generation === 0 ? 0 : hash32(`${shard}:${known.generation}:${known.version}`);
}

/** Returns the version of each shard's table. */
export function listTableVersions(view: TableView): ShardVersion[] {
  return [...view.shards].map(([shard, { generation, version }]) => ({ shard, generation, version }));
}

function applyTableDelta(view: TableView, message: TableDelta): void {
  const known = getOrCreateShardTable(view, message.shard);
  const before = hashTableVersion(message.shard, known);
  if (message.fromVersion === 0) {
    known.table = createOwnershipTable();
  }
  applyChange(known.table, message.change);
  known.generation = message.generation;
  known.version = message.toVersion;
  known.leader = message.leader;
  known.replicas = message.replicas;
  view.digest = (view.digest - before + hashTableVersion(message.shard, known)) >>> 0;
  const group = groupOfShard(message.shard);
  const pins = view.pins.get(group) ?? new Map<string, number>();
  for (const pin of message.change.pins) {
    pins.set(pin.key, pin.unit);
  }
  view.pins.set(group, pins);
}

function applyAndPropagate(context: ReducerContext, message: TableDelta): void {
  applyTableDelta(context.state.tables, message);
  propagate(context, message.root, message);
}

function createTableDelta(
  context: ReducerContext,
  replica: ShardReplica,
  fromVersion: number,
  toVersion: number,
  change: TableChange,
): TableDelta {
  const self = context.state.identity.id;
  const { shard, generation, log } = replica;
  const replicas = [...log.replicas];
  return {
    kind: 'tableDelta',
    shard,
    generation,
    fromVersion,
    toVersion,
    leader: self,
    root: self,
    change,
    replicas,
  };
}

/** Propagates the change of a committed entry to every daemon. A leader calls it for each committed entry. */
export function publishTableChange(
  context: ReducerContext,
  replica: ShardReplica,
  index: number,
  change: TableChange,
): void {
  const leadership = context.state.leaderships.get(replica.shard);
  if (leadership === undefined || !leadership.ready) {
    return;
  }
  applyAndPropagate(context, createTableDelta(context, replica, leadership.publishedVersion, index, change));
  leadership.publishedVersion = index;
}

/**
 * Announces a new leader and its table version. A new leader calls it once, when its table is complete; a
 * daemon whose copy is behind then requests the table.
 */
export function announceLeadership(context: ReducerContext, replica: ShardReplica): void {
  const leadership = context.state.leaderships.get(replica.shard);
  if (leadership === undefined) {
    return;
  }
  const version = replica.appliedIndex;
  applyTableDelta(
    context.state.tables,
    createTableDelta(context, replica, 0, version, tableAsChange(replica.table)),
  );
  leadership.publishedVersion = version;
  const announcement = createTableDelta(context, replica, version, version, createEmptyChange());
  propagate(context, announcement.root, announcement);
}

/** Returns whether a (generation, version) pair is no newer than that of the known table. */
function isNotNewer(generation: number, version: number, known: ShardTable): boolean {
  return generation < known.generation || (generation === known.generation && version <= known.version);
}

/**
 * Applies a table change and propagates it. Requests the whole table from the sender when an earlier
 * change was missed.
 */
export function receiveTableDelta(context: ReducerContext, sender: DaemonId, message: TableDelta): void {
  const { tables, rules, counters, leaderships } = context.state;
  const known = getOrCreateShardTable(tables, message.shard);
  if (leaderships.has(message.shard)) {
    return;
  }
  const isOutdated = isNotNewer(message.generation, message.toVersion, known);
  if (isOutdated && rules.tableOnlyForward) {
    return;
  }
  if (message.root !== '') {
    propagate(context, message.root, message);
  }
  const isWholeTable = message.fromVersion === 0;
  const isNextChange = message.generation === known.generation && message.fromVersion === known.version;
  if (isWholeTable || isNextChange || !rules.tableOnlyForward) {
    counters.table_deltas_applied += 1;
    applyTableDelta(tables, message);
    return;
  }
  counters.table_pulls += 1;
  const { generation, version } = known;
  context.send(sender, { kind: 'tablePull', versions: [{ shard: message.shard, generation, version }] });
}

/**
 * Sends a peer each table of which this daemon has a newer version than the peer listed. The response
 * to a request that lists a single shard contains only that shard.
 */
export function sendNewerTables(
  context: ReducerContext,
  peer: DaemonId,
  versions: readonly ShardVersion[],
): void {
  const { tables } = context.state;
  const peerVersions = new Map(versions.map((entry) => [entry.shard, entry]));
  const isSingleShardPull = versions.length === 1;
  for (const [shard, known] of tables.shards) {
    const entry = peerVersions.get(shard);
    const isRequested = entry !== undefined || !isSingleShardPull;
    const { generation, version, leader, table } = known;
    const isNewer =
      generation > (entry?.generation ?? 0) ||
      (generation === (entry?.generation ?? 0) && version > (entry?.version ?? 0));
    if (isRequested && isNewer && generation > 0) {
      const replicas = [...known.replicas];
      const change = tableAsChange(table);
      context.send(peer, {
        kind: 'tableDelta',
        shard,
        generation,
        fromVersion: 0,
        toVersion: version,
        leader,
        root: '',
        change,
        replicas,
      });
    }
  }
}
