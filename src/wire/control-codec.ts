/**
 * Control calls to servers and their answers as JSON. What is empty is left out: most calls renew a lease
 * and do nothing else, and they make up much of what control costs.
 */
import * as z from 'zod';
import type { ControlReply, ControlRequest } from '../core/server-control.js';

const unitEpochsSchema = z.array(z.object({ unit: z.number(), epoch: z.number() })).default([]);

const requestSchema = z.object({
  shard: z.string(),
  generation: z.number(),
  term: z.number(),
  sequence: z.number(),
  serverIncarnation: z.number().default(0),
  stamp: z.number().nullable().default(null),
  leaseMilliseconds: z.number(),
  grants: unitEpochsSchema,
  revokes: unitEpochsSchema,
  wantInventory: z.boolean().default(false),
});

const replySchema = z.object({
  sequence: z.number(),
  serverIncarnation: z.number(),
  clock: z.number(),
  refusal: z.enum(['older-leader', 'other-incarnation']).nullable().default(null),
  lapseCount: z.number().default(0),
  granted: unitEpochsSchema,
  staleGrants: unitEpochsSchema,
  revoked: unitEpochsSchema,
  inventory: z
    .array(z.object({ unit: z.number(), epoch: z.number() }))
    .nullable()
    .default(null),
  draining: z.boolean().default(false),
});

function isEmpty(value: unknown): boolean {
  return value === null || value === false || (Array.isArray(value) && value.length === 0);
}

/** The JSON of an object without those of its own fields that are empty; what is inside them stays whole. */
function stringifyCompact(fields: object): string {
  return JSON.stringify(Object.fromEntries(Object.entries(fields).filter(([, value]) => !isEmpty(value))));
}

/** The JSON of a call. */
export function encodeControlRequest(request: ControlRequest): string {
  return stringifyCompact(request);
}

/** Reads a call. Throws on what is none. */
export function decodeControlRequest(text: string): ControlRequest {
  return requestSchema.parse(JSON.parse(text));
}

/** The JSON of an answer. The clock is cut to whole milliseconds, downwards: that can only shorten a lease. */
export function encodeControlReply(reply: ControlReply): string {
  const clock = Math.floor(reply.clock);
  const { inventory, ...rest } = reply;
  const text = stringifyCompact({ ...rest, clock });
  // An empty inventory says "nothing is held", which is not the same as none asked for.
  return inventory === null ? text : `${text.slice(0, -1)},"inventory":${JSON.stringify(inventory)}}`;
}

/** Reads an answer. Throws on what is none. */
export function decodeControlReply(text: string): ControlReply {
  return replySchema.parse(JSON.parse(text));
}
