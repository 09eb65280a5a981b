/** How long the requests of a service usually take on an idle slot, over all of its servers. */
import type { Milliseconds } from '../model/identifiers.js';

/** Before anything is known, a request is taken to last this long. */
const FIRST_TIME: Milliseconds = 80;
/** Weight of a new time once many are known. */
const LEAST_WEIGHT = 0.02;
/** Fewer times than this say little of a service. */
const ENOUGH_TIMES = 5;

/** Shared by the servers of one service: what is expected of a server of which little is known. */
export class ServiceProfile {
  /** A server of the service has told of its load what cannot be read, and the log says so. */
  saidUnreadable = false;
  /** The same of a rest that it asked for. */
  saidUnreadableRest = false;
  /** The same of a limit. */
  saidUnreadableLimit = false;
  #mean: Milliseconds = FIRST_TIME;
  #times = 0;

  /** The mean time of a request. */
  get mean(): Milliseconds {
    return this.#mean;
  }

  /** Whether enough requests were seen to judge a server by the mean. */
  get isKnown(): boolean {
    return this.#times >= ENOUGH_TIMES;
  }

  /** Takes in how long a request took that did not wait. */
  add(duration: Milliseconds): void {
    this.#times += 1;
    this.#mean += (duration - this.#mean) * Math.max(LEAST_WEIGHT, 1 / this.#times);
  }
}
