/** The greatest of the values seen lately. */
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Keeps a maximum for a time. Shares of a common bound are worked out by the number of daemons: those that lose touch for a
 * moment still use their shares, so the count must not fall at once.
 */
export class RecentPeak {
  readonly #memory: Milliseconds;
  #value: number;
  #seenAt: Milliseconds;

  constructor(memory: Milliseconds, value: number, now: Milliseconds) {
    this.#memory = memory;
    this.#value = value;
    this.#seenAt = now;
  }

  /** Takes a value in and returns the peak. */
  note(value: number, now: Milliseconds): number {
    if (value >= this.#value || now - this.#seenAt > this.#memory) {
      this.#value = value;
      this.#seenAt = now;
    }
    return this.#value;
  }
}
