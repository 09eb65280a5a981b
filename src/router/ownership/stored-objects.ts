/** The two objects that the daemons keep in the store, and their checks. */
import * as z from 'zod';
import { LAST_KEY } from '../model/identifiers.js';
import type { OwnershipTable } from './ownership-table.js';

const KEY = z.number().int().min(0).max(LAST_KEY);

const leaderSchema = z.object({
  term: z.number().int().min(1),
  daemon: z.string(),
  life: z.number(),
  address: z.string(),
  /** Counts confirmations. */
  beat: z.number(),
  /** No earlier leader can call a server any more. */
  settled: z.boolean(),
  /** It has stopped: another daemon should lead at once. */
  resigned: z.boolean(),
});

/** Who leads. */
export type LeaderRecord = z.infer<typeof leaderSchema>;

const ownershipSchema = z.object({
  /** Names the write, so that one without an answer is recognised. */
  writeId: z.string(),
  table: z.object({
    term: z.number().int(),
    nextFence: z.number().int(),
    units: z.array(
      z.object({
        service: z.string(),
        from: KEY,
        to: KEY,
        owner: z.string(),
        fence: z.number().int(),
        releasing: z.string().nullable(),
      }),
    ),
  }),
});

/** The ownership table as it is stored. */
export interface OwnershipRecord {
  readonly writeId: string;
  readonly table: OwnershipTable;
}

/** Reads the leader's object; null when it is malformed. */
export function parseLeader(value: unknown): LeaderRecord | null {
  const parsed = leaderSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}

/** Reads the ownership object; null when it is malformed. */
export function parseOwnership(value: unknown): OwnershipRecord | null {
  const parsed = ownershipSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}
