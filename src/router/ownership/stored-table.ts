/**
 * Reads the ownership table as it is in the store, where others may write, too. An item that can't be read costs that item, and ownership is
 * never guessed:
 *
 * - A unit that can't be read, or that overlaps another one, leaves keys without a known owner. Any server may hold them under a grant of a
 *   former leader. They get `UNKNOWN_OWNER`, which is no server: like the keys of an owner that has gone, they are granted to the next owner
 *   once all leases of former leaders have ended.
 * - A unit whose service can't be read, or a table without units, says nothing about whole services. Such a table is incomplete: no first
 *   units are assigned before these leases have ended.
 * - A release that can't be read is not repeated. It only guards against calls of former leaders that a network failure holds up. If just its
 *   address is none, the one in the server's entry is used.
 * - Without a readable fence, fences go on above the highest one that can be read. Servers refuse lower ones, which are then raised.
 */
import * as z from 'zod';
import { addressSchema } from '../model/address.js';
import { LAST_KEY, type Fence, type ServerId, type ServiceName } from '../model/identifiers.js';
import { EMPTY_TABLE, type OwnershipTable, type Unit } from './ownership-table.js';
import type { UnconfirmedRelease } from './unconfirmed-releases.js';

/** Owner of keys whose owner can't be read. No server has an empty name. */
export const UNKNOWN_OWNER: ServerId = '';
/** Beyond any term that elections reach. Terms go to other daemons as 32-bit numbers. */
export const MAX_TERM = 2 ** 30;
/** Beyond any fence that a leader allocates. Twice the number is still exact. */
const MAX_FENCE: Fence = 2 ** 52;

const keySchema = z.number().int().min(0).max(LAST_KEY);
const fenceSchema = z.number().int().min(0).max(MAX_FENCE);
const rangeFields = { service: z.string(), from: keySchema, to: keySchema };

function isRange({ from, to }: { from: number; to: number }): boolean {
  return from <= to;
}

const unitSchema = z
  .object({
    ...rangeFields,
    owner: z.string(),
    fence: fenceSchema,
    releasing: z.string().nullable(),
  })
  .refine(isRange);
const releaseSchema = z
  .object({
    server: z.string(),
    address: addressSchema.nullable().catch(null),
    ...rangeFields,
    fence: fenceSchema,
  })
  .refine(isRange);
/** The service alone, for units whose other fields are malformed. */
const serviceSchema = z.object({ service: z.string() });
const listSchema = z.array(z.unknown());
const recordSchema = z.object({
  /** Identifies the write, so that a write whose answer was lost is recognised. */
  writeId: z.string().catch(''),
  table: z.object({
    term: z.number().int().min(0).max(MAX_TERM).catch(0),
    nextFence: z.unknown(),
    units: z.unknown(),
    /** Absent in tables of versions before it was introduced. */
    unconfirmedReleases: listSchema.catch([]).default([]),
    isIncomplete: z.boolean().catch(true).optional(),
  }),
});

/** The ownership table as it is stored. */
export interface OwnershipRecord {
  readonly writeId: string;
  readonly table: OwnershipTable;
}

/** A stored table, and how many of its parts could not be read. */
export interface ReadOwnershipRecord extends OwnershipRecord {
  readonly malformedParts: number;
}

const UNREADABLE_TABLE: OwnershipTable = { ...EMPTY_TABLE, isIncomplete: true };

/** Returns the items that match a schema. */
function readItems<Item>(items: readonly unknown[], schema: z.ZodType<Item>): Item[] {
  return items.flatMap((item) => {
    const parsed = schema.safeParse(item);
    return parsed.success ? [parsed.data] : [];
  });
}

/** Returns the units, sorted by first key, that have no key in common with another one. */
function withoutOverlaps(sorted: readonly Unit[]): Unit[] {
  const overlapping = new Set<Unit>();
  let last: Unit | undefined;
  for (const unit of sorted) {
    if (last !== undefined && unit.from <= last.to) {
      overlapping.add(last).add(unit);
    }
    last = last === undefined || unit.to > last.to ? unit : last;
  }
  return sorted.filter((unit) => !overlapping.has(unit));
}

/** Returns the units of a service so that they cover each key once. */
function toCoveringUnits(service: ServiceName, units: readonly Unit[], fence: Fence): Unit[] {
  const sorted = [...units].sort((left, right) => left.from - right.from);
  const covering: Unit[] = [];
  let nextKey = 0;
  const cover = (to: number): void => {
    if (nextKey <= to) {
      covering.push({ service, from: nextKey, to, owner: UNKNOWN_OWNER, fence, releasing: null });
    }
  };
  for (const unit of withoutOverlaps(sorted)) {
    cover(unit.from - 1);
    covering.push(unit);
    nextKey = unit.to + 1;
  }
  cover(LAST_KEY);
  return covering;
}

function namesOf(items: readonly unknown[]): ServiceName[] {
  return [...new Set(readItems(items, serviceSchema).map(({ service }) => service))].sort();
}

/** Reads a stored ownership table. */
export function readOwnershipRecord(value: unknown): ReadOwnershipRecord {
  const record = recordSchema.safeParse(value);
  if (!record.success) {
    return { writeId: '', table: UNREADABLE_TABLE, malformedParts: 1 };
  }
  const { writeId, table } = record.data;
  const unitItems = listSchema.safeParse(table.units).data;
  const listed = unitItems ?? [];
  const units = readItems(listed, unitSchema);
  const unconfirmedReleases: UnconfirmedRelease[] = readItems(table.unconfirmedReleases, releaseSchema);
  const highestFence = Math.max(
    0,
    ...units.map(({ fence }) => fence),
    ...unconfirmedReleases.map(({ fence }) => fence),
  );
  const nextFence = fenceSchema.safeParse(table.nextFence);
  const covering = namesOf(listed).flatMap((service) =>
    toCoveringUnits(
      service,
      units.filter((unit) => unit.service === service),
      highestFence,
    ),
  );
  const hasUnnamed = readItems(listed, serviceSchema).length < listed.length;
  const isIncomplete = table.isIncomplete === true || unitItems === undefined || hasUnnamed;
  const known = new Set<Unit>(units);
  const malformedParts =
    covering.filter((unit) => !known.has(unit)).length +
    (table.unconfirmedReleases.length - unconfirmedReleases.length) +
    (nextFence.success ? 0 : 1) +
    (isIncomplete && table.isIncomplete !== true ? 1 : 0);
  return {
    writeId,
    table: {
      term: table.term,
      nextFence: Math.max(nextFence.data ?? 0, highestFence + 1, EMPTY_TABLE.nextFence),
      units: covering,
      unconfirmedReleases,
      ...(isIncomplete ? { isIncomplete } : {}),
    },
    malformedParts,
  };
}
