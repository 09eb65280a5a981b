/**
 * Forms the generations of a control shard. An object in the store, written by compare-and-swap, names the
 * replicas, so that two daemons can never form the same generation twice. A new generation is formed when
 * all replicas that the object names are proven to be lost. See docs/design/consensus.md.
 */
import { shardsOf } from '../configuration/shard-layout.js';
import { createShardReplica } from '../consensus/shard-replica.js';
import type { ReducerContext } from '../context.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import { hash32, rendezvousOrder } from '../hashing.js';
import {
  daemonOfReplica,
  groupOfShard,
  incarnationOfReplica,
  type Milliseconds,
  type ReplicaId,
  type ShardId,
} from '../identifiers.js';
import { aliveMembers } from '../membership/membership.js';
import { createEmptyChange, type Form, type Member } from '../messages.js';
import { currentReplicaId } from './shard-checkpoint.js';
import { parseShardObject, shardObjectName, shardOfObject, type ShardObject } from './shard-object.js';

/** Interval between two checks for shards that have no live replica. */
const FORMATION_CHECK_INTERVAL: Milliseconds = 300;
/** Time after its start during which a daemon forms no shard, so that it can discover the other daemons. */
const MEMBERSHIP_SETTLE_TIME: Milliseconds = 1_200;

export interface FormationState {
  nextCheckAt: Milliseconds;
  /** Shards whose object is being read or written, with the time from which the read may be retried. */
  readonly retryTimes: Map<ShardId, Milliseconds>;
  /** Objects whose write is in progress, by shard. */
  readonly pendingWrites: Map<ShardId, ShardObject>;
  /** Shards for which an operator ordered a new generation, even if some of their replicas may be alive. */
  readonly forcedRecoveries: Set<ShardId>;
}

/** Creates the state of a daemon that is forming no shard. */
export function createFormationState(): FormationState {
  return { nextCheckAt: 0, retryTimes: new Map(), pendingWrites: new Map(), forcedRecoveries: new Set() };
}

/** Chooses the replicas of a shard, in different zones as long as there are enough zones. */
export function chooseReplicas(shard: ShardId, members: readonly Member[], count: number): Member[] {
  const byName = new Map(members.map((member) => [member.id, member]));
  const ordered = rendezvousOrder(shard, [...byName.keys()]).map((id) => byName.get(id) as Member);
  const chosen: Member[] = [];
  const zones = new Set<string>();
  for (const member of ordered) {
    if (chosen.length < count && !zones.has(member.zone)) {
      zones.add(member.zone);
      chosen.push(member);
    }
  }
  for (const member of ordered) {
    if (chosen.length < count && !chosen.includes(member)) {
      chosen.push(member);
    }
  }
  return chosen;
}

/**
 * Returns whether this daemon is the one that forms a shard, chosen among the live daemons by a hash of the
 * shard.
 */
function isResponsibleForFormation(context: ReducerContext, shard: ShardId): boolean {
  const members = aliveMembers(context.state.membership);
  return members[hash32(shard) % members.length]?.id === context.state.identity.id;
}

/**
 * Periodically checks for configured shards without a live replica and starts to form those that this daemon
 * is responsible for.
 */
export function tickFormation(context: ReducerContext): void {
  const { formation, configuration, tables, startedAt, timing } = context.state;
  const settled = context.now - startedAt >= MEMBERSHIP_SETTLE_TIME;
  if (configuration.configuration === null || context.now < formation.nextCheckAt || !settled) {
    return;
  }
  formation.nextCheckAt = context.now + FORMATION_CHECK_INTERVAL;
  for (const shard of shardsOf(configuration.configuration)) {
    const table = tables.shards.get(shard);
    const lost = table?.replicas.every((replica) => isReplicaLost(context, replica)) ?? true;
    const hasReplicas = (table?.generation ?? 0) > 0 && !lost;
    const waiting = context.now < (formation.retryTimes.get(shard) ?? 0);
    if (!hasReplicas && !waiting && isResponsibleForFormation(context, shard)) {
      formation.retryTimes.set(shard, context.now + timing.storeRetryDelay);
      context.emit({ kind: 'readObject', name: shardObjectName(shard), afterVersion: null });
    }
  }
}

function sendFormToReplicas(context: ReducerContext, shard: ShardId, object: ShardObject): void {
  const { generation, replicas, table } = object;
  const message: Form = { kind: 'form', shard, generation, replicas: [...replicas], table };
  for (const replica of replicas) {
    if (replica === ownReplicaId(context)) {
      receiveForm(context, message);
    } else {
      context.sendToReplica(replica, message);
    }
  }
}

/** Returns the replica id of this daemon's current incarnation. */
export function ownReplicaId(context: ReducerContext): ReplicaId {
  return currentReplicaId(context.state.identity);
}

/**
 * Forms a new generation of a shard from the store's object on an operator's order, without proof that its
 * replicas are lost.
 */
export function forceRecovery(context: ReducerContext, shard: ShardId): void {
  context.state.formation.forcedRecoveries.add(shard);
  context.emit({ kind: 'readObject', name: shardObjectName(shard), afterVersion: null });
}

/** Handles the store's response to a read of a shard's object. */
export function receiveShardObject(context: ReducerContext, event: ObjectReadEvent): void {
  const { formation } = context.state;
  const shard = shardOfObject(event.name);
  if (event.result === null) {
    return;
  }
  const { version, value } = event.result;
  const object = version === 0 ? null : parseShardObject(value);
  if (version === 0) {
    writeGeneration(context, shard, version, { generation: 1, index: 0, table: createEmptyChange() });
  } else if (object === null) {
    context.log('error', `the store object of shard ${shard} is malformed`);
  } else if (
    formation.forcedRecoveries.delete(shard) ||
    object.replicas.every((replica) => isReplicaLost(context, replica))
  ) {
    const { generation, table } = object;
    context.log(
      'warn',
      `shard ${shard} is considered lost: forming generation ${generation + 1} from the store`,
    );
    writeGeneration(context, shard, version, { generation: generation + 1, index: 0, table });
  } else if (object.index === 0) {
    sendFormToReplicas(context, shard, object);
  }
}

/**
 * Returns whether a replica is proven to be lost: its daemon runs in a later incarnation, and replicas exist
 * only in memory.
 */
function isReplicaLost(context: ReducerContext, replica: ReplicaId): boolean {
  const member = context.state.membership.members.get(daemonOfReplica(replica));
  return member !== undefined && member.incarnation > incarnationOfReplica(replica);
}

function writeGeneration(
  context: ReducerContext,
  shard: ShardId,
  expectedVersion: number,
  content: Omit<ShardObject, 'replicas'>,
): void {
  const { formation, configuration, membership } = context.state;
  const group = configuration.groups.get(groupOfShard(shard));
  if (group === undefined) {
    return;
  }
  const members = chooseReplicas(shard, aliveMembers(membership), group.replicas);
  const object: ShardObject = { ...content, replicas: members.map(currentReplicaId) };
  formation.pendingWrites.set(shard, object);
  const name = shardObjectName(shard);
  const writeId = `${ownReplicaId(context)}@${context.now}`;
  context.emit({ kind: 'writeObject', name, expectedVersion, writeId, value: JSON.stringify(object) });
}

/**
 * Handles the store's response to a write of a shard's object. An unknown result is resolved by the next
 * read.
 */
export function receiveShardObjectWritten(context: ReducerContext, event: ObjectWrittenEvent): void {
  const { formation } = context.state;
  const shard = shardOfObject(event.name);
  const object = formation.pendingWrites.get(shard);
  formation.pendingWrites.delete(shard);
  if (event.result === 'written' && object !== undefined) {
    sendFormToReplicas(context, shard, object);
  }
}

/** Creates a replica of a newly formed shard generation if the message names this daemon. */
export function receiveForm(context: ReducerContext, message: Form): void {
  const { replicas } = context.state;
  const self = ownReplicaId(context);
  const existing = replicas.get(message.shard);
  const isNewer = existing === undefined || existing.generation < message.generation;
  if (isNewer && message.replicas.includes(self)) {
    const { shard, generation, table } = message;
    replicas.set(shard, createShardReplica(shard, generation, self, message.replicas, table));
    context.log('info', `holds a replica of shard ${shard}, generation ${generation}`);
  }
}
