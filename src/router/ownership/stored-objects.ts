/** Schemas of the two objects that the daemons keep in the store. */
import * as z from 'zod';
import { addressSchema } from '../model/address.js';
import { LAST_KEY } from '../model/identifiers.js';
import type { OwnershipTable } from './ownership-table.js';

const KEY = z.number().int().min(0).max(LAST_KEY);

const leaderSchema = z.object({
  term: z.number().int().min(1),
  daemon: z.string(),
  life: z.number(),
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

const ownershipSchema = z.object({
  /** Identifies the write, so that a write whose answer was lost is recognised. */
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
    // Absent in tables of versions before it was introduced.
    unconfirmedReleases: z
      .array(
        z.object({
          server: z.string(),
          address: addressSchema.nullable(),
          service: z.string(),
          from: KEY,
          to: KEY,
          fence: z.number().int(),
        }),
      )
      .default([]),
  }),
});

/** The ownership table as it is stored. */
export interface OwnershipRecord {
  readonly writeId: string;
  readonly table: OwnershipTable;
}

/** Parses a leader record; returns null if it is malformed. */
export function parseLeaderRecord(value: unknown): LeaderRecord | null {
  const parsed = leaderSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}

/** Parses an ownership record; returns null if it is malformed. */
export function parseOwnershipRecord(value: unknown): OwnershipRecord | null {
  const parsed = ownershipSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}
