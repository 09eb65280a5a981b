/**
 * The requests of a service that were refused with a retry time which has not passed yet. A caller that returns earlier takes its turn as if it
 * had returned at that time, so that it gets no more of a short capacity than callers that keep to it.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** Maximum number of refusals that are remembered; the oldest is forgotten first. */
const MAX_REFUSALS = 512;

interface Refusal {
  readonly returnAt: Milliseconds;
  /** Whether several callers send this same request, so that one that arrives need not come from the refused caller. */
  readonly isShared: boolean;
}

export class RecentRefusals {
  readonly #refusals = new Map<string, Refusal>();
  #lastReturnAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Returns whether no refused caller is still to return; requests need no identification then. */
  isEmpty(now: Milliseconds): boolean {
    if (now >= this.#lastReturnAt) {
      this.#refusals.clear();
    }
    return this.#refusals.size === 0;
  }

  /**
   * Records a refusal. Of a caller that returned early the time that it was told first counts.
   *
   * @param request identifies the same request of a caller
   * @param isEarly whether the refused request itself was an early return
   */
  record(request: string, returnAt: Milliseconds, isEarly: boolean, now: Milliseconds): void {
    const known = this.#current(request, now);
    if (known !== null && isEarly) {
      return;
    }
    this.#lastReturnAt = Math.max(this.#lastReturnAt, returnAt);
    this.#refusals.delete(request);
    this.#refusals.set(request, { returnAt, isShared: known !== null });
    if (this.#refusals.size > MAX_REFUSALS) {
      const [oldest] = this.#refusals.keys();
      this.#refusals.delete(oldest as string);
    }
  }

  /** Returns the time at which the caller of an arriving request was told to return if that is still to come, otherwise null. */
  returnTime(request: string, now: Milliseconds): Milliseconds | null {
    const refusal = this.#current(request, now);
    return refusal === null || refusal.isShared ? null : refusal.returnAt;
  }

  #current(request: string, now: Milliseconds): Refusal | null {
    const refusal = this.#refusals.get(request);
    if (refusal === undefined || refusal.returnAt > now) {
      return refusal ?? null;
    }
    this.#refusals.delete(request);
    return null;
  }
}
