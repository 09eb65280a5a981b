/** The leader record, one of the two objects that the daemons keep in the store. The other one is in stored-table.ts. */
import * as z from 'zod';
import { addressSchema } from '../model/address.js';
import { MAX_TERM } from './stored-table.js';

const identitySchema = z.object({ term: z.number().int().min(1).max(MAX_TERM), life: z.number() });
const termSchema = identitySchema.pick({ term: true });
const leaderSchema = z.object({
  ...identitySchema.shape,
  daemon: z.string(),
  address: addressSchema,
  /** Number of confirmations of this leadership. */
  beat: z.number(),
  /** No earlier leader can still call a server. */
  settled: z.boolean(),
  /** The leader has stopped, so another daemon should take over at once. */
  resigned: z.boolean(),
});

/** The stored record that names the leader. */
export type LeaderRecord = z.infer<typeof leaderSchema>;

/** Parses a leader record; returns null if it is malformed. */
export function parseLeaderRecord(value: unknown): LeaderRecord | null {
  const parsed = leaderSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}

/** Returns which leadership a record names, even if its other fields are malformed; null: none. */
export function parseLeaderIdentity(value: unknown): Pick<LeaderRecord, 'term' | 'life'> | null {
  return identitySchema.safeParse(value).data ?? null;
}

/** Returns the term of a record whose other fields may be malformed; 0: it has none. */
export function parseTerm(value: unknown): number {
  return termSchema.safeParse(value).data?.term ?? 0;
}
