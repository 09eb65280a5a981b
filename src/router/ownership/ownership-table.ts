/**
 * The ownership table: which server owns which keys. It is one object in the store, and every change is
 * written there by compare-and-swap before it is carried out. Tables are immutable, and updates are pure
 * functions.
 */
import { LAST_KEY, type Fence, type Key, type ServerId, type ServiceName } from '../model/identifiers.js';
import type { UnconfirmedReleases } from './unconfirmed-releases.js';

/** A range of keys of one service. */
export interface UnitRange {
  readonly service: ServiceName;
  readonly from: Key;
  /** The last key of the range, inclusive. */
  readonly to: Key;
}

/** A range of keys with one owner and one fencing token. */
export interface Unit extends UnitRange {
  readonly owner: ServerId;
  /**
   * Fencing token of the owner's grant. The number below it is the fencing token of the release at the former
   * owner.
   */
  readonly fence: Fence;
  /**
   * Former owner that must release the keys, or whose leases must have expired, before the owner is granted
   * them.
   */
  readonly releasing: ServerId | null;
}

/** The units of all keyed services. */
export interface OwnershipTable {
  /** Term of the leader, which rises with every change of leader. */
  readonly term: number;
  readonly nextFence: Fence;
  /** Sorted by service, then by first key. The units of a service cover every key exactly once. */
  readonly units: readonly Unit[];
  /** Releases that must be repeated until the former owners confirm them. */
  readonly unconfirmedReleases: UnconfirmedReleases;
  /** An earlier table could not be read as a whole: servers may hold keys that have no unit here, until the leases of former leaders end. */
  readonly isIncomplete?: boolean;
}

/** Returns whether no server can hold any key under an earlier leader. */
export function isUnassigned({ units, isIncomplete }: OwnershipTable): boolean {
  return units.length === 0 && isIncomplete !== true;
}

export const EMPTY_TABLE: OwnershipTable = { term: 0, nextFence: 2, units: [], unconfirmedReleases: [] };

/** Caches the names of units, which are needed at every tick and never change. */
const unitNames = new WeakMap<object, string>();
/** Caches the units of a table by name, built on first use. */
const unitIndexes = new WeakMap<OwnershipTable, ReadonlyMap<string, Unit>>();

/** Returns a name for the range of a unit, unique within one table. */
export function unitName(unit: UnitRange): string {
  let name = unitNames.get(unit);
  if (name === undefined) {
    name = `${unit.service}/${unit.from}-${unit.to}`;
    unitNames.set(unit, name);
  }
  return name;
}

/** Returns the unit with the given name. */
export function findUnitByName(table: OwnershipTable, name: string): Unit | undefined {
  let index = unitIndexes.get(table);
  if (index === undefined) {
    index = new Map(table.units.map((unit) => [unitName(unit), unit]));
    unitIndexes.set(table, index);
  }
  return index.get(name);
}

function compareUnits(left: Unit, right: Unit): number {
  if (left.service !== right.service) {
    return left.service < right.service ? -1 : 1;
  }
  return left.from - right.from;
}

/** Returns the table with other units, which are sorted here. */
export function withUnits(table: OwnershipTable, units: readonly Unit[]): OwnershipTable {
  return { ...table, units: [...units].sort(compareUnits) };
}

/** Allocates two fences: the lower for a release, and the returned higher one for the grant after it. */
export function allocateFences(table: OwnershipTable): { table: OwnershipTable; fence: Fence } {
  return { table: { ...table, nextFence: table.nextFence + 2 }, fence: table.nextFence + 1 };
}

/** Splits a unit into two with the same owner and fence; `middle` is the first key of the second. */
export function splitUnit(table: OwnershipTable, unit: Unit, middle: Key): OwnershipTable {
  if (middle <= unit.from || middle > unit.to) {
    return table;
  }
  const parts = [
    { ...unit, to: middle - 1 },
    { ...unit, from: middle },
  ];
  return withUnits(
    table,
    table.units.flatMap((other) => (other === unit ? parts : [other])),
  );
}

/**
 * Merges adjacent units of one owner if `mayMerge` allows it. Each merged unit gets a new fence above those
 * of its parts. Fewer units need fewer renewals.
 */
export function mergeAdjacentUnits(table: OwnershipTable, mayMerge: (unit: Unit) => boolean): OwnershipTable {
  let result = table;
  const merged: Unit[] = [];
  for (const unit of table.units) {
    const last = merged.at(-1);
    const areAdjacent =
      last?.service === unit.service && last.owner === unit.owner && last.to + 1 === unit.from;
    if (
      last !== undefined &&
      areAdjacent &&
      mayMerge(unit) &&
      (last.fence >= table.nextFence || mayMerge(last))
    ) {
      const allocated =
        last.fence >= table.nextFence ? { table: result, fence: last.fence } : allocateFences(result);
      result = allocated.table;
      merged[merged.length - 1] = { ...last, to: unit.to, fence: allocated.fence, releasing: null };
    } else {
      merged.push(unit);
    }
  }
  return result === table ? table : withUnits(result, merged);
}

/** Adds the units of a service that has none yet: one range of equal size for each owner. */
export function addInitialUnits(
  table: OwnershipTable,
  service: ServiceName,
  owners: readonly ServerId[],
): OwnershipTable {
  const keys = LAST_KEY + 1;
  let result = table;
  const units: Unit[] = [];
  owners.forEach((owner, index) => {
    const allocated = allocateFences(result);
    result = allocated.table;
    const from = Math.floor((index * keys) / owners.length);
    const to = Math.floor(((index + 1) * keys) / owners.length) - 1;
    units.push({ service, from, to, owner, fence: allocated.fence, releasing: null });
  });
  return withUnits(result, [...table.units, ...units]);
}
