/** Mean time of a service's requests on an idle slot, over all of its servers. */
import type { Milliseconds } from '../model/identifiers.js';

/** Assumed service time before any request has been measured. */
const INITIAL_SERVICE_TIME: Milliseconds = 80;
/** Weight of a new sample once there are many. */
const MIN_SAMPLE_WEIGHT = 0.02;
/** Number of samples below which the mean says little about the service. */
const MIN_SAMPLES = 5;

/** Shared by all servers of one service; gives the expected service time of a server with few samples of its own. */
export class ServiceProfile {
  /** Whether the log already has an unreadable load report from a server of the service. */
  loggedUnreadableLoad = false;
  /** Whether the log already has an unreadable back-off request from a server of the service. */
  loggedUnreadableBackoff = false;
  /** Whether the log already has an unreadable rate limit from a server of the service. */
  loggedUnreadableLimit = false;
  #mean: Milliseconds = INITIAL_SERVICE_TIME;
  #sampleCount = 0;

  /** Mean time of a request on an idle slot. */
  get mean(): Milliseconds {
    return this.#mean;
  }

  /** Whether there are enough samples to judge a server by the mean. */
  get hasEnoughSamples(): boolean {
    return this.#sampleCount >= MIN_SAMPLES;
  }

  /** Adds the duration of a request that did not wait for a slot. */
  addSample(duration: Milliseconds): void {
    this.#sampleCount += 1;
    this.#mean += (duration - this.#mean) * Math.max(MIN_SAMPLE_WEIGHT, 1 / this.#sampleCount);
  }
}
