/**
 * Which server owns which keys: the content of one object in the store. Every change is written there by
 * compare-and-swap before anything is done on it. Immutable, with pure updates.
 */
import { LAST_KEY, type Fence, type Key, type ServerId, type ServiceName } from '../model/identifiers.js';

/** A range of keys of one service with one owner and one fence. */
export interface Unit {
  readonly service: ServiceName;
  readonly from: Key;
  /** The last key, inside the range. */
  readonly to: Key;
  readonly owner: ServerId;
  /** Fence of the owner's grant. The number below it is the fence of the release at the former owner. */
  readonly fence: Fence;
  /** The former owner that must give the keys up, or be out of its lease, before the owner gets them. */
  readonly releasing: ServerId | null;
}

/** Every unit of every keyed service. */
export interface OwnershipTable {
  /** The leader's term: rises with every change of leader. */
  readonly term: number;
  readonly nextFence: Fence;
  /** Sorted by service, then by first key; the units of a service cover every key once. */
  readonly units: readonly Unit[];
}

/** A table without units. */
export const EMPTY_TABLE: OwnershipTable = { term: 0, nextFence: 2, units: [] };

/** Names of units: they are asked for at every tick, and units do not change. */
const names = new WeakMap<object, string>();
/** Units by name, made for a table when it is first asked for. */
const indexes = new WeakMap<OwnershipTable, ReadonlyMap<string, Unit>>();

/** A name for a unit's range, unique within one table. */
export function unitName(unit: Pick<Unit, 'service' | 'from' | 'to'>): string {
  let name = names.get(unit);
  if (name === undefined) {
    name = `${unit.service}/${unit.from}-${unit.to}`;
    names.set(unit, name);
  }
  return name;
}

/** The unit of a table with a name. */
export function unitNamed(table: OwnershipTable, name: string): Unit | undefined {
  let index = indexes.get(table);
  if (index === undefined) {
    index = new Map(table.units.map((unit) => [unitName(unit), unit]));
    indexes.set(table, index);
  }
  return index.get(name);
}

function compareUnits(left: Unit, right: Unit): number {
  if (left.service !== right.service) {
    return left.service < right.service ? -1 : 1;
  }
  return left.from - right.from;
}

/** The table with other units, sorted. */
export function withUnits(table: OwnershipTable, units: readonly Unit[]): OwnershipTable {
  return { ...table, units: [...units].sort(compareUnits) };
}

/** Two fences: the lower for a release, the higher for the grant after it. */
export function takeFences(table: OwnershipTable): { table: OwnershipTable; fence: Fence } {
  return { table: { ...table, nextFence: table.nextFence + 2 }, fence: table.nextFence + 1 };
}

/** Cuts a unit into two of the same owner and fence; `middle` is the first key of the second. */
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
 * Joins neighbours of one owner that may be joined; each joined unit has a fresh fence above those of its
 * parts. Fewer units need fewer renewals.
 */
export function joinUnits(table: OwnershipTable, mayJoin: (unit: Unit) => boolean): OwnershipTable {
  let result = table;
  const joined: Unit[] = [];
  for (const unit of table.units) {
    const last = joined.at(-1);
    const neighbours =
      last?.service === unit.service && last.owner === unit.owner && last.to + 1 === unit.from;
    if (
      last !== undefined &&
      neighbours &&
      mayJoin(unit) &&
      (last.fence >= table.nextFence || mayJoin(last))
    ) {
      const taken = last.fence >= table.nextFence ? { table: result, fence: last.fence } : takeFences(result);
      result = taken.table;
      joined[joined.length - 1] = { ...last, to: unit.to, fence: taken.fence, releasing: null };
    } else {
      joined.push(unit);
    }
  }
  return result === table ? table : withUnits(result, joined);
}

/** The units of a service that has none yet: one equal range for each owner. */
export function firstUnits(
  table: OwnershipTable,
  service: ServiceName,
  owners: readonly ServerId[],
): OwnershipTable {
  const keys = LAST_KEY + 1;
  let result = table;
  const units: Unit[] = [];
  owners.forEach((owner, index) => {
    const taken = takeFences(result);
    result = taken.table;
    const from = Math.floor((index * keys) / owners.length);
    const to = Math.floor(((index + 1) * keys) / owners.length) - 1;
    units.push({ service, from, to, owner, fence: taken.fence, releasing: null });
  });
  return withUnits(result, [...table.units, ...units]);
}
