/** Ranges of keys and the load on them. */
import type { Key } from '../model/identifiers.js';
import type { KeyRate } from './key-load.js';

/** Request rates by key, in key order, with prefix sums that make the total of a range fast. */
export class KeyRates {
  readonly #rates: readonly KeyRate[];
  /** For each key, the sum of the rates of all lower keys. */
  readonly #prefixSums: number[] = [];
  #total = 0;

  constructor(rates: readonly KeyRate[]) {
    this.#rates = rates;
    for (const { rate } of rates) {
      this.#prefixSums.push(this.#total);
      this.#total += rate;
    }
  }

  /** Returns the index of the first key that is not below the given one. */
  #lowerBound(key: Key): number {
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

  /** Returns the load on the keys of a range, both ends included. */
  total(from: Key, to: Key): number {
    const sumBefore = (index: number): number => this.#prefixSums[index] ?? this.#total;
    return sumBefore(this.#lowerBound(to + 1)) - sumBefore(this.#lowerBound(from));
  }

  /** Returns whether no key of a range is requested. */
  isUnrequested(from: Key, to: Key): boolean {
    return this.#lowerBound(from) === this.#lowerBound(to + 1);
  }

  /** Returns the requested keys of a range with their rates. */
  ratesWithin(from: Key, to: Key): readonly KeyRate[] {
    return this.#rates.slice(this.#lowerBound(from), this.#lowerBound(to + 1));
  }
}

/** A range of keys and the load on them. */
export interface KeyRange {
  readonly from: Key;
  /** The last key of the range, inclusive. */
  readonly to: Key;
  readonly rate: number;
}

/**
 * Yields, for each requested key, the longest run of adjacent requested keys that ends there and carries no
 * more than `maxRate`: a plan chooses the part of a unit to move from these runs. A key with a higher rate of
 * its own is in none of them.
 */
export function* rangesUpToRate(rates: readonly KeyRate[], maxRate: number): Generator<KeyRange> {
  let sum = 0;
  let first = 0;
  for (const [last, { key, rate }] of rates.entries()) {
    sum += rate;
    while (sum > maxRate && first <= last) {
      sum -= (rates[first] as KeyRate).rate;
      first += 1;
    }
    const from = rates[first];
    if (from !== undefined && first <= last) {
      yield { from: from.key, to: key, rate: sum };
    }
  }
}
