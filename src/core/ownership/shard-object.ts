/**
 * The object that the platform's store holds for each control shard: who its replicas are, and its table
 * as of some log index. Written by compare-and-swap only.
 */
import * as z from 'zod';
import type { ReplicaId, ShardId } from '../identifiers.js';
import type { TableChange } from '../messages.js';

const OBJECT_PREFIX = 'shard:';

const tableSchema = z.strictObject({
  holdings: z.array(
    z.strictObject({ server: z.string(), units: z.array(z.number()), epochs: z.array(z.number()) }),
  ),
  moves: z.array(z.strictObject({ unit: z.number(), target: z.string() })),
  pins: z.array(z.strictObject({ key: z.string(), unit: z.number() })),
});

const shardObjectSchema = z.strictObject({
  generation: z.number().int().positive(),
  replicas: z.array(z.string()).min(1),
  /** Log index that the table contains; 0 until a leader of the generation has written. */
  index: z.number().int().min(0),
  table: tableSchema,
});

/** The content of a shard's object. */
export interface ShardObject {
  readonly generation: number;
  readonly replicas: readonly ReplicaId[];
  readonly index: number;
  readonly table: TableChange;
}

/** The name of a shard's object. */
export function shardObjectName(shard: ShardId): string {
  return `${OBJECT_PREFIX}${shard}`;
}

/** True for the objects of shards. */
export function isShardObject(name: string): boolean {
  return name.startsWith(OBJECT_PREFIX);
}

/** The shard of an object. */
export function shardOfObject(name: string): ShardId {
  return name.slice(OBJECT_PREFIX.length);
}

/** Reads an object's value; null when it is none. */
export function parseShardObject(value: string): ShardObject | null {
  try {
    const parsed = shardObjectSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
