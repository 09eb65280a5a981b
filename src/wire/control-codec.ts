/**
 * Encodes control requests to servers and their replies as JSON. Empty fields are omitted to keep the messages small: most
 * requests only renew a lease, and these account for much of the cost of control traffic.
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

/** Encodes an object as JSON without its empty fields. Nested objects are encoded in full. */
function stringifyCompact(fields: object): string {
  return JSON.stringify(Object.fromEntries(Object.entries(fields).filter(([, value]) => !isEmpty(value))));
}

/** Encodes a control request. */
export function encodeControlRequest(request: ControlRequest): string {
  return stringifyCompact(request);
}

/** Decodes a control request. Throws if the text is malformed. */
export function decodeControlRequest(text: string): ControlRequest {
  return requestSchema.parse(JSON.parse(text));
}

/** Encodes a control reply. The clock is rounded down to whole milliseconds, which can only shorten a lease. */
export function encodeControlReply(reply: ControlReply): string {
  const clock = Math.floor(reply.clock);
  const { inventory, ...rest } = reply;
  const text = stringifyCompact({ ...rest, clock });
  // An empty inventory means that the server holds no units; null means that no inventory was requested.
  return inventory === null ? text : `${text.slice(0, -1)},"inventory":${JSON.stringify(inventory)}}`;
}

/** Decodes a control reply. Throws if the text is malformed. */
export function decodeControlReply(text: string): ControlReply {
  return replySchema.parse(JSON.parse(text));
}
