/**
 * Keeps the store's object of a shard up to date while this daemon leads the shard. Recovery is safe only
 * with the replica set, and would start with an empty table without the ownership table. The store may be
 * down for hours; the object is then written when the store responds again.
 */
import type { ReducerContext } from '../context.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import { replicaId, type Milliseconds, type ReplicaId } from '../identifiers.js';
import { majoritySize } from '../consensus/shard-replica.js';
import { tableAsChange } from './ownership-table.js';
import type { ShardLeadership } from './shard-leadership.js';
import { parseShardObject, shardObjectName, type ShardObject } from './shard-object.js';

/** Minimum interval between two store requests for one shard's object. */
const CHECKPOINT_INTERVAL: Milliseconds = 500;

/** Time for which a successful store response proves that the store is reachable. */
const STORE_RESPONSE_VALIDITY: Milliseconds = 3_000;

/** A leader's view of its shard's object in the store. */
export interface CheckpointState {
  /** Version of the object, or null until it has been read in this term. */
  version: number | null;
  /** Last known content of the object in the store. */
  stored: ShardObject | null;
  pendingWrite: ShardObject | null;
  callTimeoutAt: Milliseconds;
  nextCallAt: Milliseconds;
  /** Time of the last successful read or write of the object. */
  lastStoreResponseAt: Milliseconds;
}

/** Creates the state of a leader that has not read the object yet. */
export function createCheckpointState(): CheckpointState {
  return {
    version: null,
    stored: null,
    pendingWrite: null,
    callTimeoutAt: 0,
    nextCallAt: 0,
    lastStoreResponseAt: Number.NEGATIVE_INFINITY,
  };
}

function isCheckpointCurrent(leadership: ShardLeadership): boolean {
  const { checkpoint, replica } = leadership;
  return (
    checkpoint.stored?.generation === replica.generation && checkpoint.stored.index === replica.appliedIndex
  );
}

/**
 * Reads the object when its version is unknown, and writes it whenever the shard's applied log index has
 * advanced.
 */
export function tickCheckpoint(context: ReducerContext, leadership: ShardLeadership): void {
  const { checkpoint, replica } = leadership;
  const idle = context.now >= checkpoint.callTimeoutAt && context.now >= checkpoint.nextCallAt;
  if (!leadership.ready || !idle || (checkpoint.version !== null && isCheckpointCurrent(leadership))) {
    return;
  }
  const name = shardObjectName(replica.shard);
  checkpoint.nextCallAt = context.now + CHECKPOINT_INTERVAL;
  checkpoint.callTimeoutAt = context.now + context.state.timing.storeRetryDelay * 3;
  if (checkpoint.version === null) {
    context.emit({ kind: 'readObject', name, afterVersion: null });
    return;
  }
  const object: ShardObject = {
    generation: replica.generation,
    replicas: [...replica.log.replicasAt(replica.appliedIndex)],
    index: replica.appliedIndex,
    table: tableAsChange(replica.table),
  };
  checkpoint.pendingWrite = object;
  const writeId = `${replica.self}@${replica.term}.${replica.appliedIndex}`;
  const value = JSON.stringify(object);
  context.emit({ kind: 'writeObject', name, expectedVersion: checkpoint.version, writeId, value });
}

/** Handles the store's response to the leader's read. */
export function receiveCheckpointRead(
  context: ReducerContext,
  leadership: ShardLeadership,
  event: ObjectReadEvent,
): void {
  const { checkpoint, replica } = leadership;
  checkpoint.callTimeoutAt = context.now;
  const stored = event.result === null ? null : parseShardObject(event.result.value);
  // A later generation means that the shard was recovered on other replicas: this leader must not change the
  // object.
  if (event.result !== null && stored !== null && stored.generation <= replica.generation) {
    checkpoint.version = event.result.version;
    checkpoint.stored = stored;
    checkpoint.lastStoreResponseAt = context.now;
  }
}

/** Handles the store's response to the leader's write. */
export function receiveCheckpointWritten(
  context: ReducerContext,
  leadership: ShardLeadership,
  event: ObjectWrittenEvent,
): void {
  const { checkpoint } = leadership;
  checkpoint.callTimeoutAt = context.now;
  if (event.result === 'written') {
    checkpoint.version = event.version;
    checkpoint.stored = checkpoint.pendingWrite;
    checkpoint.lastStoreResponseAt = context.now;
    leadership.nextHandOverAt = context.now;
  } else if (event.result !== 'refused') {
    // After a conflict or a lost response the content of the object is unknown until it is read again.
    checkpoint.version = null;
    checkpoint.stored = null;
  }
  checkpoint.pendingWrite = null;
}

/**
 * Returns whether the store is assumed to accept this leader's writes: it responded recently, or holds the
 * latest state.
 */
export function isStoreResponding(context: ReducerContext, leadership: ShardLeadership): boolean {
  const recently = context.now - leadership.checkpoint.lastStoreResponseAt < STORE_RESPONSE_VALIDITY;
  return recently || isCheckpointCurrent(leadership);
}

/**
 * Returns whether the object contains a unit's assignment at this epoch or a later one, so that only a loss
 * of the store can lose it.
 */
export function isDurable(leadership: ShardLeadership, epoch: number, unit: number): boolean {
  const holdings = leadership.checkpoint.stored?.table.holdings ?? [];
  return holdings.some((holding) => {
    const position = holding.units.indexOf(unit);
    return position >= 0 && (holding.epochs[position] ?? 0) >= epoch;
  });
}

/**
 * Returns whether a replica may join now. Recovery considers a shard lost when all replicas that the object
 * names are lost, so replicas that the object does not name must never form a majority on their own.
 */
export function mayAddReplica(
  leadership: ShardLeadership,
  current: readonly ReplicaId[],
  added: ReplicaId,
): boolean {
  const { stored } = leadership.checkpoint;
  if (stored === null) {
    return false;
  }
  const next = [...current, added];
  const unnamed = next.filter((id) => !stored.replicas.includes(id)).length;
  return unnamed < majoritySize(next.length);
}

/** Returns the replica id of a daemon's current incarnation. */
export function currentReplicaId(member: { readonly id: string; readonly incarnation: number }): ReplicaId {
  return replicaId(member.id, member.incarnation);
}
