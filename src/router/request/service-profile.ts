/** Mean time of a service's requests on an idle slot, over all of its servers. */
import type { Milliseconds } from '../model/identifiers.js';

/** Assumed service time before any request has been measured. */
const FIRST_TIME: Milliseconds = 80;
/** Weight of a new sample once there are many. */
const LEAST_WEIGHT = 0.02;
/** Number of samples below which the mean says little about the service. */
const ENOUGH_TIMES = 5;

/** Shared by all servers of one service; gives the expected service time of a server with few samples of its own. */
export class ServiceProfile {
  /** Whether the log already has an unreadable load report from a server of the service. */
  saidUnreadable = false;
  /** Whether the log already has an unreadable back-off request from a server of the service. */
  saidUnreadableRest = false;
  /** Whether the log already has an unreadable rate limit from a server of the service. */
  saidUnreadableLimit = false;
  #mean: Milliseconds = FIRST_TIME;
  #sampleCount = 0;

  /** Mean time of a request on an idle slot. */
  get mean(): Milliseconds {
    return this.#mean;
  }

  /** Whether there are enough samples to judge a server by the mean. */
  get isKnown(): boolean {
    return this.#sampleCount >= ENOUGH_TIMES;
  }

  /** Adds the duration of a request that did not wait for a slot. */
  add(duration: Milliseconds): void {
    this.#sampleCount += 1;
    this.#mean += (duration - this.#mean) * Math.max(LEAST_WEIGHT, 1 / this.#sampleCount);
  }
}
