/**
 * Ownership table of a shard's units: the state machine driven by the replicated log, and its copy in
 * every router.
 */
import type { Epoch, ServerId, UnitNumber } from '../identifiers.js';
import { createEmptyChange, type Holding, type TableChange } from '../messages.js';

/** Ownership of one unit. */
export interface OwnershipRecord {
  readonly unit: UnitNumber;
  readonly server: ServerId;
  readonly epoch: Epoch;
  /** Server or side that the unit is moving to, or null. A moving unit is still owned by `server`. */
  readonly target: ServerId | null;
}

/** Ownership records by unit, and the units of pinned keys. */
export interface OwnershipTable {
  readonly records: Map<UnitNumber, OwnershipRecord>;
  readonly pins: Map<string, UnitNumber>;
}

/** Creates an empty table. */
export function createOwnershipTable(): OwnershipTable {
  return { records: new Map(), pins: new Map() };
}

function applyHolding(table: OwnershipTable, holding: Holding): void {
  holding.units.forEach((unit, index) => {
    const epoch = holding.epochs[index] ?? 0;
    table.records.set(unit, { unit, server: holding.server, epoch, target: null });
  });
}

/** Applies a change to a table in place. */
export function applyChange(table: OwnershipTable, change: TableChange): void {
  for (const holding of change.holdings) {
    applyHolding(table, holding);
  }
  for (const move of change.moves) {
    const record = table.records.get(move.unit);
    if (record !== undefined) {
      table.records.set(move.unit, { ...record, target: move.target === '' ? null : move.target });
    }
  }
  for (const pin of change.pins) {
    table.pins.set(pin.key, pin.unit);
  }
}

/** Returns a change that contains the whole table. */
export function tableAsChange(table: OwnershipTable): TableChange {
  const records = [...table.records.values()];
  const moving = records.filter((record) => record.target !== null);
  return {
    holdings: groupIntoHoldings(records),
    moves: moving.map((record) => ({ unit: record.unit, target: record.target ?? '' })),
    pins: [...table.pins].map(([key, unit]) => ({ key, unit })),
  };
}

/** Groups assignments by server, as they are encoded in messages. */
export function groupIntoHoldings(
  records: readonly Pick<OwnershipRecord, 'unit' | 'server' | 'epoch'>[],
): Holding[] {
  const byServer = new Map<ServerId, Holding>();
  for (const { unit, server, epoch } of records) {
    const holding = byServer.get(server) ?? { server, units: [], epochs: [] };
    holding.units.push(unit);
    holding.epochs.push(epoch);
    byServer.set(server, holding);
  }
  return [...byServer.values()];
}

/** Returns a change that assigns units to servers. */
export function assignmentChange(
  records: readonly Pick<OwnershipRecord, 'unit' | 'server' | 'epoch'>[],
): TableChange {
  return { ...createEmptyChange(), holdings: groupIntoHoldings(records) };
}

/** Creates a table from a change that contains all of its records. */
export function tableFromChange(change: TableChange): OwnershipTable {
  const table = createOwnershipTable();
  applyChange(table, change);
  return table;
}
