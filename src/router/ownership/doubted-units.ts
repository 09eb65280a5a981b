/**
 * Units whose owner has just turned a request away: it does not hold them, whatever the view says. For a moment no further
 * request is sent there: each would be turned away as well, and count as a retry.
 */
import type { Fence, Milliseconds } from '../model/identifiers.js';

/** A grant is on its way for about this long. */
const DOUBT: Milliseconds = 200;

/** Kept by the fence of each unit: a unit that has moved has another one. */
export class DoubtedUnits {
  readonly #until = new Map<Fence, Milliseconds>();

  /** The owner turned a request away. */
  add(fence: Fence, now: Milliseconds): void {
    this.#until.set(fence, now + DOUBT);
  }

  /** Whether a request would most likely be turned away. */
  has(fence: Fence, now: Milliseconds): boolean {
    const until = this.#until.get(fence);
    if (until === undefined || now < until) {
      return until !== undefined;
    }
    this.#until.delete(fence);
    return false;
  }
}
