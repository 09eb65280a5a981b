/**
 * Bounds the retries that a service receives. Within a window, all daemons together may retry a fixed ratio of the requests plus a fixed
 * number. Each daemon keeps a token bucket that holds an equal part of the fixed number and is refilled by the ratio of its own requests.
 */

import { equalShare } from '../sharing/equal-share.js';

/** Bound on the retries of all daemons together. */
export interface RetryBudgetLimits {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries beyond the ratio that all daemons together may make in one window. */
  readonly extra: number;
}

/** Fraction of the bound that is used; the rest covers daemons that start and windows that overlap. */
const USED_FRACTION = 0.8;

/** Retry budget of one service at one daemon. */
export class RetryBudget {
  #tokens: number;
  #capacity: number;
  readonly #limits: RetryBudgetLimits;

  /** @param daemons number of daemons that share the budget */
  constructor(limits: RetryBudgetLimits, daemons: number) {
    this.#limits = limits;
    this.#capacity = equalShare(limits.extra * USED_FRACTION, daemons);
    // A daemon that has just restarted may have spent its part in its previous incarnation.
    this.#tokens = this.#capacity / 2;
  }

  /** Sets the number of daemons that share the budget. */
  setDaemonCount(daemons: number): void {
    this.#capacity = equalShare(this.#limits.extra * USED_FRACTION, daemons);
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /** Adds the tokens for a request from a caller. */
  creditRequest(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#limits.ratio * USED_FRACTION);
  }

  /** Whether the budget has a token for a retry. */
  get hasRetry(): boolean {
    return this.#tokens >= 1;
  }

  /** Takes the token for one retry; returns false when none is left. */
  tryTake(): boolean {
    if (!this.hasRetry) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
