/**
 * Units whose owner has just rejected a request because it does not hold them, whatever the view says. For a
 * short time no further request is sent there, since it would be rejected as well and count as a retry.
 */
import type { Fence, Milliseconds } from '../model/identifiers.js';

/** Approximate time that a grant needs to reach its server. */
const REJECTION_MEMORY: Milliseconds = 200;

/** Units are identified by their fence, since a unit that has moved has another one. */
export class RecentlyRejectedUnits {
  readonly #until = new Map<Fence, Milliseconds>();

  /** Records that the owner of a unit rejected a request. */
  add(fence: Fence, now: Milliseconds): void {
    this.#until.set(fence, now + REJECTION_MEMORY);
  }

  /** Returns whether the owner would most likely reject a request. */
  has(fence: Fence, now: Milliseconds): boolean {
    const until = this.#until.get(fence);
    if (until === undefined || now < until) {
      return until !== undefined;
    }
    this.#until.delete(fence);
    return false;
  }
}
