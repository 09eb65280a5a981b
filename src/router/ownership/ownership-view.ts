/**
 * A daemon's view of ownership: the units of the table, and which of them have been granted to their owners.
 */
import type { Key, ServiceName } from '../model/identifiers.js';
import type { Unit } from './ownership-table.js';

/** A unit and whether its owner holds it, as far as the leader knows. */
export interface UnitView extends Unit {
  readonly granted: boolean;
}

function overlap(left: UnitView, right: UnitView): boolean {
  return left.service === right.service && left.from <= right.to && right.from <= left.to;
}

function byFirstKey(left: UnitView, right: UnitView): number {
  return left.from - right.from;
}

function groupByService(units: readonly UnitView[]): Map<ServiceName, UnitView[]> {
  const groups = new Map<ServiceName, UnitView[]>();
  for (const unit of units) {
    const group = groups.get(unit.service) ?? [];
    group.push(unit);
    groups.set(unit.service, group);
  }
  groups.forEach((group) => group.sort(byFirstKey));
  return groups;
}

/** Ownership as a leader sent it. Views are ordered by term, then by sequence. */
export class OwnershipView {
  readonly term: number;
  readonly sequence: number;
  readonly units: readonly UnitView[];
  /** Units of each service, sorted by first key. */
  readonly #byService: ReadonlyMap<ServiceName, readonly UnitView[]>;

  constructor(
    term: number,
    sequence: number,
    units: readonly UnitView[],
    byService: ReadonlyMap<ServiceName, readonly UnitView[]> = groupByService(units),
  ) {
    this.term = term;
    this.sequence = sequence;
    this.units = units;
    this.#byService = byService;
  }

  /** Returns whether this is the view with the given term and sequence. */
  is(term: number, sequence: number): boolean {
    return this.term === term && this.sequence === sequence;
  }

  /** Returns whether this view replaces the other. */
  isNewerThan(other: OwnershipView): boolean {
    return this.term > other.term || (this.term === other.term && this.sequence > other.sequence);
  }

  /** Returns the view of a term after a change: the given units replace those that they overlap. */
  changed(term: number, sequence: number, units: readonly UnitView[]): OwnershipView {
    const byService = new Map(this.#byService);
    for (const [service, changed] of groupByService(units)) {
      const before = byService.get(service) ?? [];
      const kept = before.filter((unit) => !changed.some((other) => overlap(unit, other)));
      byService.set(service, [...kept, ...changed].sort(byFirstKey));
    }
    return new OwnershipView(term, sequence, [...byService.values()].flat(), byService);
  }

  /** Returns the unit that contains a key. */
  unitOf(service: ServiceName, key: Key): UnitView | undefined {
    const list = this.#byService.get(service);
    if (list === undefined) {
      return undefined;
    }
    let low = 0;
    let high = list.length - 1;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if ((list[middle] as UnitView).from <= key) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    const unit = list[low];
    return unit !== undefined && unit.from <= key && key <= unit.to ? unit : undefined;
  }
}

/** View of a daemon that has received no table yet. */
export const EMPTY_VIEW = new OwnershipView(0, 0, []);
