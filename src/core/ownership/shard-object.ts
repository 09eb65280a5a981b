/**
 * Object in the platform's store for each control shard. It holds the shard's replica set and a snapshot of
 * its ownership table at a log index, and is written by compare-and-swap only.
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
  /** Last log index applied to the table; 0 until a leader of the generation has written the object. */
  index: z.number().int().min(0),
  table: tableSchema,
});

/** Content of a shard's object. */
export interface ShardObject {
  readonly generation: number;
  readonly replicas: readonly ReplicaId[];
  readonly index: number;
  readonly table: TableChange;
}

/** Returns the name of a shard's object. */
export function shardObjectName(shard: ShardId): string {
  return `${OBJECT_PREFIX}${shard}`;
}

/** Returns whether a store object belongs to a shard. */
export function isShardObject(name: string): boolean {
  return name.startsWith(OBJECT_PREFIX);
}

/** Returns the shard that an object belongs to. */
export function shardOfObject(name: string): ShardId {
  return name.slice(OBJECT_PREFIX.length);
}

/** Parses the value of a shard's object. Returns null when the value is malformed. */
export function parseShardObject(value: string): ShardObject | null {
  try {
    const parsed = shardObjectSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
