/** Ranges of keys and the load on them. */
import { LAST_KEY, type Key } from '../model/identifiers.js';
import type { KeyRate } from './key-load.js';

/** The least that a part carries, as a share of the wanted load. */
const LEAST_PART = 0.12;
/** The most that a part may carry, as a share of the wanted load. */
export const FIT_HIGH = 1.25;
/** What moving all keys costs, against the load that is wanted. */
const SPAN_COST = 5;

/** Rates by key, in the order of keys, with sums that are quick to ask for. */
export class KeyRates {
  readonly #rates: readonly KeyRate[];
  /** The rate of all keys before each one. */
  readonly #before: number[] = [];
  #total = 0;

  constructor(rates: readonly KeyRate[]) {
    this.#rates = rates;
    for (const { rate } of rates) {
      this.#before.push(this.#total);
      this.#total += rate;
    }
  }

  /** Index of the first key that is not below a key. */
  #indexOf(key: Key): number {
    let low = 0;
    let high = this.#rates.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#rates[middle] as KeyRate).key < key) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** The load on the keys of a range, its ends inside. */
  total(from: Key, to: Key): number {
    const sumBefore = (index: number): number => this.#before[index] ?? this.#total;
    return sumBefore(this.#indexOf(to + 1)) - sumBefore(this.#indexOf(from));
  }

  /** The keys of a range that are asked for. */
  within(from: Key, to: Key): readonly KeyRate[] {
    return this.#rates.slice(this.#indexOf(from), this.#indexOf(to + 1));
  }
}

/** A range of keys, and how well it fits what is wanted. */
export interface KeyRange {
  readonly from: Key;
  readonly to: Key;
  readonly value: number;
}

/** Of all runs of neighbouring keys below a wanted rate, the one with the most load on the fewest keys. */
export function bestPart(rates: readonly KeyRate[], wanted: number): KeyRange | undefined {
  let best: KeyRange | undefined;
  let sum = 0;
  let first = 0;
  for (const [last, { key, rate }] of rates.entries()) {
    sum += rate;
    while (sum > wanted * FIT_HIGH && first <= last) {
      sum -= (rates[first] as KeyRate).rate;
      first += 1;
    }
    const from = rates[first]?.key ?? key;
    const value = Math.min(1, sum / wanted) - (SPAN_COST * (key - from)) / (LAST_KEY + 1);
    if (first <= last && sum >= wanted * LEAST_PART && value > (best?.value ?? 0)) {
      best = { from, to: key, value };
    }
  }
  return best;
}
