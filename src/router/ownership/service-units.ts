/** The units of one service while a plan changes them, indexed by key and by owner. */
import type { Key, ServerId, ServiceName } from '../model/identifiers.js';
import { withUnits, type OwnershipTable, type Unit } from './ownership-table.js';

/** The units before and after a unit. */
export interface Neighbours {
  readonly left: Unit | undefined;
  readonly right: Unit | undefined;
}

export class ServiceUnits {
  readonly #table: OwnershipTable;
  readonly #service: ServiceName;
  /** Sorted by first key. */
  readonly #units: Unit[];
  readonly #byOwner = new Map<ServerId, Unit[]>();
  #nextFence: number;
  #hasChanged = false;

  constructor(table: OwnershipTable, service: ServiceName) {
    this.#table = table;
    this.#service = service;
    this.#nextFence = table.nextFence;
    this.#units = table.units.filter((unit) => unit.service === service);
    this.#units.forEach((unit) => this.#addToOwner(unit));
  }

  /** All units, sorted by first key. */
  get all(): readonly Unit[] {
    return this.#units;
  }

  /** Returns the units of an owner, sorted by first key. */
  ownedBy(owner: ServerId): readonly Unit[] {
    return this.#byOwner.get(owner) ?? [];
  }

  neighboursOf(unit: Unit): Neighbours {
    const index = this.#indexOf(unit.from);
    return { left: this.#units[index - 1], right: this.#units[index + 1] };
  }

  /** Gives a unit to another owner under new fences. */
  move(unit: Unit, owner: ServerId, releasing: ServerId | null): void {
    const fence = this.#nextFence + 1;
    this.#nextFence += 2;
    this.#replace(unit, [{ ...unit, owner, fence, releasing }]);
  }

  /** Splits a unit into two with the same owner and fence, of which `middle` begins the second. Returns both, or the whole unit. */
  split(unit: Unit, middle: Key): readonly [Unit, Unit] | readonly [Unit] {
    if (middle <= unit.from || middle > unit.to) {
      return [unit];
    }
    const parts = [
      { ...unit, to: middle - 1 },
      { ...unit, from: middle },
    ] as const;
    this.#replace(unit, parts);
    return parts;
  }

  /** Returns the table with these units, or the same table if nothing has changed. */
  toTable(): OwnershipTable {
    if (!this.#hasChanged) {
      return this.#table;
    }
    const others = this.#table.units.filter((unit) => unit.service !== this.#service);
    return withUnits({ ...this.#table, nextFence: this.#nextFence }, [...others, ...this.#units]);
  }

  #replace(unit: Unit, parts: readonly Unit[]): void {
    this.#hasChanged = true;
    this.#units.splice(this.#indexOf(unit.from), 1, ...parts);
    const owned = this.#byOwner.get(unit.owner) ?? [];
    owned.splice(owned.indexOf(unit), 1);
    parts.forEach((part) => this.#addToOwner(part));
  }

  #addToOwner(unit: Unit): void {
    const owned = this.#byOwner.get(unit.owner) ?? [];
    const next = owned.findIndex(({ from }) => from > unit.from);
    owned.splice(next === -1 ? owned.length : next, 0, unit);
    this.#byOwner.set(unit.owner, owned);
  }

  #indexOf(from: Key): number {
    let [low, high] = [0, this.#units.length - 1];
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#units[middle] as Unit).from < from) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
