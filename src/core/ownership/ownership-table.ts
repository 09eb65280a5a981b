/**
 * The ownership of a shard's units: the state machine that the replicated log drives, and the copy of it
 * that every router keeps.
 */
import type { Epoch, ServerId, UnitNumber } from '../identifiers.js';
import { emptyChange, type Holding, type TableChange } from '../messages.js';

/** Who owns a unit. */
export interface OwnershipRecord {
  readonly unit: UnitNumber;
  readonly server: ServerId;
  readonly epoch: Epoch;
  /** Where the unit is moving to, or null. A moving unit is still owned by `server`. */
  readonly target: ServerId | null;
}

/** Records by unit, and the single keys that are units of their own. */
export interface OwnershipTable {
  readonly records: Map<UnitNumber, OwnershipRecord>;
  readonly pins: Map<string, UnitNumber>;
}

/** A table with no units. */
export function createOwnershipTable(): OwnershipTable {
  return { records: new Map(), pins: new Map() };
}

function applyHolding(table: OwnershipTable, holding: Holding): void {
  holding.units.forEach((unit, index) => {
    const epoch = holding.epochs[index] ?? 0;
    table.records.set(unit, { unit, server: holding.server, epoch, target: null });
  });
}

/** Applies a change in place. */
export function applyChange(table: OwnershipTable, change: TableChange): void {
  for (const holding of change.holdings) {
    applyHolding(table, holding);
  }
  for (const move of change.moves) {
    const known = table.records.get(move.unit);
    if (known !== undefined) {
      table.records.set(move.unit, { ...known, target: move.target === '' ? null : move.target });
    }
  }
  for (const pin of change.pins) {
    table.pins.set(pin.key, pin.unit);
  }
}

/** The whole table as one change. */
export function tableAsChange(table: OwnershipTable): TableChange {
  const records = [...table.records.values()];
  const moving = records.filter((record) => record.target !== null);
  return {
    holdings: holdingsOf(records),
    moves: moving.map((record) => ({ unit: record.unit, target: record.target ?? '' })),
    pins: [...table.pins].map(([key, unit]) => ({ key, unit })),
  };
}

/** Groups assignments by server, which is how they travel. */
export function holdingsOf(
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

/** A change that gives units to servers. */
export function assignmentChange(
  records: readonly Pick<OwnershipRecord, 'unit' | 'server' | 'epoch'>[],
): TableChange {
  return { ...emptyChange(), holdings: holdingsOf(records) };
}

/** A table read from a change that holds all of it. */
export function tableFromChange(change: TableChange): OwnershipTable {
  const table = createOwnershipTable();
  applyChange(table, change);
  return table;
}
