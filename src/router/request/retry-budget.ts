/**
 * Bounds how many arrivals beyond the first a service sees. The whole system may make a share of the
 * requests plus a fixed number within a window; each daemon takes an equal part of the fixed number and
 * the share of its own requests, as a token bucket.
 */

import { equalPart } from '../sharing/equal-part.js';

/** The system's bound on retries. */
export interface RetryBudgetLimits {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond that in one window, for the whole system. */
  readonly extra: number;
}

/** The part of the bound that is used; the rest covers daemons that start and windows that overlap. */
const USED_PART = 0.8;

/** The budget of one service at one daemon. */
export class RetryBudget {
  #tokens: number;
  #capacity: number;
  readonly #limits: RetryBudgetLimits;

  /** @param daemons how many daemons share the budget */
  constructor(limits: RetryBudgetLimits, daemons: number) {
    this.#limits = limits;
    this.#capacity = equalPart(limits.extra * USED_PART, daemons);
    // A daemon that was just started may have spent its part in the life before.
    this.#tokens = this.#capacity / 2;
  }

  /** The number of daemons changed. */
  shareAmong(daemons: number): void {
    this.#capacity = equalPart(this.#limits.extra * USED_PART, daemons);
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /** A request came from a caller. */
  addRequest(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#limits.ratio * USED_PART);
  }

  /** Whether a retry is left. */
  get hasRetry(): boolean {
    return this.#tokens >= 1;
  }

  /** Takes one retry, or returns false when there is none left. */
  take(): boolean {
    if (!this.hasRetry) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
