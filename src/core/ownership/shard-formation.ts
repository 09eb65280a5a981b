/**
 * Forms the first generation of a control shard: one object of the store, written by compare-and-swap,
 * names its replicas, so that two daemons can never form it twice. See docs/design/consensus.md.
 */
import { z } from 'zod';
import { shardsOf } from '../configuration/shard-layout.js';
import { createShardReplica } from '../consensus/shard-replica.js';
import type { ReducerContext } from '../context.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import { hash32, rendezvousOrder } from '../hashing.js';
import { groupOfShard, replicaId, type Milliseconds, type ReplicaId, type ShardId } from '../identifiers.js';
import { aliveMembers } from '../membership/membership.js';
import { emptyChange, type Form, type Member } from '../messages.js';

const OBJECT_PREFIX = 'shard:';
/** A daemon looks for shards without a leader this often. */
const LOOK_INTERVAL: Milliseconds = 300;
/** A daemon forms no shard before it has had this long to find the others. */
const SETTLE_TIME: Milliseconds = 1_200;

const shardObjectSchema = z.strictObject({
  generation: z.number().int().positive(),
  replicas: z.array(z.string()).min(1),
});
type ShardObject = z.infer<typeof shardObjectSchema>;

export interface FormationState {
  nextLookAt: Milliseconds;
  /** Shards whose object is being read or written, with the time after which to try again. */
  readonly pending: Map<ShardId, Milliseconds>;
  /** What is being written, by shard. */
  readonly writing: Map<ShardId, ShardObject>;
}

/** Nothing under way. */
export function createFormation(): FormationState {
  return { nextLookAt: 0, pending: new Map(), writing: new Map() };
}

/** The object that names a shard's replicas. */
export function shardObjectName(shard: ShardId): string {
  return `${OBJECT_PREFIX}${shard}`;
}

/** True for the objects this module reads and writes. */
export function isShardObject(name: string): boolean {
  return name.startsWith(OBJECT_PREFIX);
}

/** Picks replicas for a shard, each in a zone of its own as far as zones reach. */
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

/** Whether it falls to this daemon to form a shard: one daemon for each shard, found without comparing all. */
function isFormerOf(context: ReducerContext, shard: ShardId): boolean {
  const members = aliveMembers(context.state.membership);
  return members[hash32(shard) % members.length]?.id === context.state.identity.id;
}

/** Looks for configured shards that nobody leads, when due. */
export function tickFormation(context: ReducerContext): void {
  const { formation, configuration, tables, startedAt, timing } = context.state;
  const settled = context.now - startedAt >= SETTLE_TIME;
  if (configuration.configuration === null || context.now < formation.nextLookAt || !settled) {
    return;
  }
  formation.nextLookAt = context.now + LOOK_INTERVAL;
  for (const shard of shardsOf(configuration.configuration)) {
    const known = (tables.shards.get(shard)?.generation ?? 0) > 0;
    const waiting = context.now < (formation.pending.get(shard) ?? 0);
    if (!known && !waiting && isFormerOf(context, shard)) {
      formation.pending.set(shard, context.now + timing.storeRetry);
      context.emit({ kind: 'readObject', name: shardObjectName(shard), afterVersion: null });
    }
  }
}

function announce(context: ReducerContext, shard: ShardId, object: ShardObject): void {
  const { generation, replicas } = object;
  const message: Form = { kind: 'form', shard, generation, replicas, table: emptyChange() };
  for (const replica of replicas) {
    if (replica === ownReplicaId(context)) {
      receiveForm(context, message);
    } else {
      context.sendToReplica(replica, message);
    }
  }
}

/** This life of this daemon, as a replica. */
export function ownReplicaId(context: ReducerContext): ReplicaId {
  return replicaId(context.state.identity.id, context.state.identity.incarnation);
}

/** The store answered a read of a shard's object. */
export function receiveShardObject(context: ReducerContext, event: ObjectReadEvent): void {
  const { formation, configuration, membership } = context.state;
  const shard = event.name.slice(OBJECT_PREFIX.length);
  if (event.result === null) {
    return;
  }
  if (event.result.version > 0) {
    announceStored(context, shard, event.result.value);
    return;
  }
  const group = configuration.groups.get(groupOfShard(shard));
  if (group === undefined) {
    return;
  }
  const members = chooseReplicas(shard, aliveMembers(membership), group.replicas);
  const object = {
    generation: 1,
    replicas: members.map((member) => replicaId(member.id, member.incarnation)),
  };
  formation.writing.set(shard, object);
  const writeId = `${ownReplicaId(context)}@${context.now}`;
  const value = JSON.stringify(object);
  context.emit({ kind: 'writeObject', name: event.name, expectedVersion: 0, writeId, value });
}

function announceStored(context: ReducerContext, shard: ShardId, value: string): void {
  const parsed = shardObjectSchema.safeParse(JSON.parse(value));
  if (parsed.success) {
    announce(context, shard, parsed.data);
  } else {
    context.log('error', `the object of shard ${shard} cannot be read`);
  }
}

/** The store answered a write of a shard's object. An unknown result is resolved by the next read. */
export function receiveShardObjectWritten(context: ReducerContext, event: ObjectWrittenEvent): void {
  const { formation } = context.state;
  const shard = event.name.slice(OBJECT_PREFIX.length);
  const object = formation.writing.get(shard);
  formation.writing.delete(shard);
  if (event.result === 'written' && object !== undefined) {
    announce(context, shard, object);
  }
}

/** This daemon is named a replica of a newly formed shard. */
export function receiveForm(context: ReducerContext, message: Form): void {
  const { replicas } = context.state;
  const self = ownReplicaId(context);
  const known = replicas.get(message.shard);
  const newer = known === undefined || known.generation < message.generation;
  if (newer && message.replicas.includes(self)) {
    const { shard, generation, table } = message;
    replicas.set(shard, createShardReplica(shard, generation, self, message.replicas, table));
    context.log('info', `holds a replica of shard ${shard}, generation ${generation}`);
  }
}
