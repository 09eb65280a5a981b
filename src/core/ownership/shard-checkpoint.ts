/**
 * A shard leader keeps the shard's object in the store up to date: the replica set, without which no
 * recovery could be safe, and the table, without which it would start from nothing. The store may be down
 * for hours; then the object is written when it answers again.
 */
import type { ReducerContext } from '../context.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import { replicaId, type Milliseconds, type ReplicaId } from '../identifiers.js';
import { majorityOf } from '../consensus/shard-replica.js';
import { tableAsChange } from './ownership-table.js';
import type { ShardLeadership } from './shard-leadership.js';
import { parseShardObject, shardObjectName, type ShardObject } from './shard-object.js';

/** Between two writes of one shard's object. */
const WRITE_INTERVAL: Milliseconds = 500;

/** An answer of the store is recent for this long. */
const RECENT_ANSWER: Milliseconds = 3_000;

/** What a leader knows of its shard's object. */
export interface CheckpointState {
  /** Version of the object, or null until it has been read in this term. */
  version: number | null;
  /** What the object is known to hold. */
  stored: ShardObject | null;
  writing: ShardObject | null;
  busyUntil: Milliseconds;
  nextAt: Milliseconds;
  /** When the store last answered this leader. */
  confirmedAt: Milliseconds;
}

/** Nothing known of the object. */
export function createCheckpointState(): CheckpointState {
  return {
    version: null,
    stored: null,
    writing: null,
    busyUntil: 0,
    nextAt: 0,
    confirmedAt: Number.NEGATIVE_INFINITY,
  };
}

function isCurrent(leadership: ShardLeadership): boolean {
  const { checkpoint, replica } = leadership;
  return (
    checkpoint.stored?.generation === replica.generation && checkpoint.stored.index === replica.appliedIndex
  );
}

/** Reads the object once, and writes it whenever something has changed. */
export function tickCheckpoint(context: ReducerContext, leadership: ShardLeadership): void {
  const { checkpoint, replica } = leadership;
  const idle = context.now >= checkpoint.busyUntil && context.now >= checkpoint.nextAt;
  if (!leadership.ready || !idle || (checkpoint.version !== null && isCurrent(leadership))) {
    return;
  }
  const name = shardObjectName(replica.shard);
  checkpoint.nextAt = context.now + WRITE_INTERVAL;
  checkpoint.busyUntil = context.now + context.state.timing.storeRetry * 3;
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
  checkpoint.writing = object;
  const writeId = `${replica.self}@${replica.term}.${replica.appliedIndex}`;
  const value = JSON.stringify(object);
  context.emit({ kind: 'writeObject', name, expectedVersion: checkpoint.version, writeId, value });
}

/** The store answered the leader's read. */
export function receiveCheckpointRead(
  context: ReducerContext,
  leadership: ShardLeadership,
  event: ObjectReadEvent,
): void {
  const { checkpoint, replica } = leadership;
  checkpoint.busyUntil = context.now;
  const stored = event.result === null ? null : parseShardObject(event.result.value);
  // An object of a later generation is not ours to change: this leader's shard has been recovered elsewhere.
  if (event.result !== null && stored !== null && stored.generation <= replica.generation) {
    checkpoint.version = event.result.version;
    checkpoint.stored = stored;
    checkpoint.confirmedAt = context.now;
  }
}

/** The store answered the leader's write. */
export function receiveCheckpointWritten(
  context: ReducerContext,
  leadership: ShardLeadership,
  event: ObjectWrittenEvent,
): void {
  const { checkpoint } = leadership;
  checkpoint.busyUntil = context.now;
  if (event.result === 'written') {
    checkpoint.version = event.version;
    checkpoint.stored = checkpoint.writing;
    checkpoint.confirmedAt = context.now;
    leadership.nextHandOverAt = context.now;
  } else if (event.result !== 'refused') {
    // A conflict or a lost answer: only reading tells what the object holds.
    checkpoint.version = null;
    checkpoint.stored = null;
  }
  checkpoint.writing = null;
}

/** Whether the store takes this leader's writes, as far as it can tell. */
export function storeAnswers(context: ReducerContext, leadership: ShardLeadership): boolean {
  const recently = context.now - leadership.checkpoint.confirmedAt < RECENT_ANSWER;
  return recently || isCurrent(leadership);
}

/** True when a unit's record is in the object: its loss needs the loss of the store too. */
export function isDurable(leadership: ShardLeadership, epoch: number, unit: number): boolean {
  const holdings = leadership.checkpoint.stored?.table.holdings ?? [];
  return holdings.some((holding) => {
    const position = holding.units.indexOf(unit);
    return position >= 0 && (holding.epochs[position] ?? 0) >= epoch;
  });
}

/**
 * Whether a replica may join now. Recovery takes a shard for dead when all replicas that the object names
 * are gone; so replicas that it does not name must never make a majority among themselves.
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
  return unnamed < majorityOf(next.length);
}

/** A replica id made from a daemon's present life. */
export function replicaOf(member: { readonly id: string; readonly incarnation: number }): ReplicaId {
  return replicaId(member.id, member.incarnation);
}
