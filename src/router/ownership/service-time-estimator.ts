/**
 * Estimates how long a server works on a request, from the observations of all daemons together. A single
 * daemon cannot tell processing from queueing, since it does not see the requests of other daemons. All
 * answers of a period show it: while a server is below capacity, the duration of its requests is processing
 * time; while it is at capacity, all of its slots are processing.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** Shortest period whose answers are evaluated together. */
const MIN_PERIOD: Milliseconds = 450;
/** A period with less than the work of this many requests is evaluated together with the next one. */
const MIN_REQUESTS = 4;
/** Weight of one request in the estimate, and the highest weight of a period. */
const REQUEST_WEIGHT = 0.02;
const MAX_PERIOD_WEIGHT = 0.35;

/**
 * Number of answers of a server, and the total time that requests spent there, including requests without an
 * answer.
 */
export interface AnswerTotals {
  readonly requests: number;
  readonly total: Milliseconds;
}

/** Service time estimate of one server. */
export class ServiceTimeEstimator {
  #since: Milliseconds;
  #requests = 0;
  #total: Milliseconds = 0;
  #serviceTime: Milliseconds | null = null;

  constructor(now: Milliseconds) {
    this.#since = now;
  }

  /** Processing time of a request in one slot, or null before enough answers were observed. */
  get serviceTime(): Milliseconds | null {
    return this.#serviceTime;
  }

  /** Adds what a daemon has observed since its last report. */
  add({ requests, total }: AnswerTotals): void {
    this.#requests += requests;
    this.#total += total;
  }

  /** Updates the estimate, if enough has been observed. */
  update(slots: number, now: Milliseconds): void {
    const period = now - this.#since;
    // A server that answers no request has no answers to count, but the time of the waiting requests.
    const evidence = Math.max(
      this.#requests,
      this.#serviceTime === null ? 0 : this.#total / this.#serviceTime,
    );
    if (period < MIN_PERIOD || evidence < MIN_REQUESTS) {
      return;
    }
    const answers = Math.max(1, this.#requests);
    const observed = Math.min(this.#total, slots * period) / answers;
    const weight = Math.min(MAX_PERIOD_WEIGHT, evidence * REQUEST_WEIGHT);
    this.#serviceTime =
      this.#serviceTime === null ? observed : this.#serviceTime + (observed - this.#serviceTime) * weight;
    this.#since = now;
    this.#requests = 0;
    this.#total = 0;
  }
}
