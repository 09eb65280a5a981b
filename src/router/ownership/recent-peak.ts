/** Maximum of recently recorded values. */
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Keeps a maximum for a limited time. Shares of a common budget are computed from the number of daemons:
 * daemons that are disconnected for a moment still use their shares, so the count must not drop at once.
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

  /** Records a value and returns the peak. */
  record(value: number, now: Milliseconds): number {
    if (value >= this.#value || now - this.#seenAt > this.#memory) {
      this.#value = value;
      this.#seenAt = now;
    }
    return this.#value;
  }
}
