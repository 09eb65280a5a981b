/** What a daemon believes of ownership: the table, and which units their owners have been granted. */
import type { Key, ServiceName } from '../model/identifiers.js';
import type { Unit } from './ownership-table.js';

/** A unit and whether its owner holds it, as far as the leader knows. */
export interface UnitView extends Unit {
  readonly granted: boolean;
}

function overlap(left: UnitView, right: UnitView): boolean {
  return left.service === right.service && left.from <= right.to && right.from <= left.to;
}

/** A leader's statement of ownership. Views are ordered by term, then by sequence. */
export class OwnershipView {
  readonly term: number;
  readonly sequence: number;
  readonly units: readonly UnitView[];
  readonly #byService = new Map<ServiceName, UnitView[]>();

  constructor(term: number, sequence: number, units: readonly UnitView[]) {
    this.term = term;
    this.sequence = sequence;
    this.units = units;
    for (const unit of units) {
      const list = this.#byService.get(unit.service) ?? [];
      list.push(unit);
      this.#byService.set(unit.service, list);
    }
    for (const list of this.#byService.values()) {
      list.sort((left, right) => left.from - right.from);
    }
  }

  /** True when this view replaces the other. */
  isNewerThan(other: OwnershipView): boolean {
    return this.term > other.term || (this.term === other.term && this.sequence > other.sequence);
  }

  /** The view after a change: the units given take the place of those that they overlap. */
  changed(sequence: number, units: readonly UnitView[]): OwnershipView {
    const kept = this.units.filter((unit) => !units.some((other) => overlap(unit, other)));
    return new OwnershipView(this.term, sequence, [...kept, ...units]);
  }

  /** The unit that a key lies in. */
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

/** The view of a daemon that has heard of no table. */
export const EMPTY_VIEW = new OwnershipView(0, 0, []);
