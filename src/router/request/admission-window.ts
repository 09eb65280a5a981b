/**
 * Limits how many requests this daemon has in flight at one owner of keys. Requests for a key can go to no other server, and this daemon does
 * not see the requests of other daemons there; it sees only how long answers take. The window works as a congestion window: it shrinks
 * when answers are late or the owner sheds requests, and grows while it is used up and answers are quick. With many daemons an owner has
 * room for less than one request of each daemon: the window is then a fraction of one request and sets the time that a daemon waits
 * between two requests. Owners shed fewer requests as a result.
 */
import { equalShare } from '../sharing/equal-share.js';
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Requests that all daemons together may have in flight for each slot of an owner before any answer: more would make most of the first
 * answers late.
 */
const INITIAL_REQUESTS_PER_SLOT = 6;
const MAX_INITIAL_WINDOW = 6;
/** Small enough for hundreds of daemons that share an owner with room for ten requests. */
const MIN_WINDOW = 0.02;
const MAX_WINDOW = 64;
/** Assumed duration of a request before any has been answered. */
const INITIAL_DURATION: Milliseconds = 200;
/** Answers count as late when their mean duration exceeds this fraction of the latency objective. */
const LATE_FRACTION = 0.7;
/** Weight of one answer in the mean duration. Requests differ, so a single long one says little. */
const DURATION_SAMPLE_WEIGHT = 0.25;
const LATE_DECREASE_FACTOR = 0.75;
const SHED_DECREASE_FACTOR = 0.5;
/** A full window of quick answers grows a window of one or more by this many requests, and a smaller one by this fraction of itself. */
const WINDOW_INCREASE = 0.5;
/** A window below one that is not reduced doubles in this time, which is about as long as a key stays hot. */
const DOUBLING_TIME: Milliseconds = 4_000;

/** Admission window of this daemon for one server. */
export class AdmissionWindow {
  #size: number;
  #meanDuration: Milliseconds | null = null;
  /** Time of the latest reduction. The outcomes of requests sent before it bring no new information and reduce the window no further. */
  #reducedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /**
   * Time up to which the growth over time of a window below one has been applied. It is minus infinity at first, so that the first request
   * raises a window that begins below one to a whole one and the owner is used from the start.
   */
  #growthAppliedUntil: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Earliest time of the next request while the window is below one. */
  #nextSendAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param slots number of slots of the owner
   * @param daemons number of daemons that share the owner
   */
  constructor(slots: number, daemons: number) {
    this.#size = Math.min(MAX_INITIAL_WINDOW, equalShare(slots * INITIAL_REQUESTS_PER_SLOT, daemons));
  }

  /** Returns whether one more request may be sent while `inFlight` requests are in flight. */
  allows(inFlight: number, now: Milliseconds): boolean {
    if (this.#size >= 1) {
      return inFlight < Math.floor(this.#size);
    }
    return inFlight === 0 && now >= this.#nextSendAt;
  }

  /** Records that a request is sent. */
  sent(now: Milliseconds): void {
    if (this.#size < 1) {
      this.#size = Math.min(1, this.#size * 2 ** ((now - this.#growthAppliedUntil) / DOUBLING_TIME));
      this.#growthAppliedUntil = now;
      this.#nextSendAt = now + this.#sendInterval();
    }
  }

  /** Records an answer. `inFlight` is the number of other requests in flight at the owner. */
  answered(duration: Milliseconds, objective: Milliseconds, inFlight: number, now: Milliseconds): void {
    const mean = this.#meanDuration ?? duration;
    this.#meanDuration = mean + (duration - mean) * DURATION_SAMPLE_WEIGHT;
    if (this.#meanDuration > objective * LATE_FRACTION) {
      this.#reduce(LATE_DECREASE_FACTOR, now - duration, now);
    } else if (inFlight + 1 >= Math.floor(this.#size)) {
      this.#size = Math.min(MAX_WINDOW, this.#size + WINDOW_INCREASE * Math.min(this.#size, 1 / this.#size));
    }
  }

  /** Records that the owner shed a request. */
  shed(sentAt: Milliseconds, now: Milliseconds): void {
    this.#reduce(SHED_DECREASE_FACTOR, sentAt, now);
  }

  /** Returns the time between two requests that corresponds to a window below one. */
  #sendInterval(): Milliseconds {
    return (this.#meanDuration ?? INITIAL_DURATION) / this.#size;
  }

  #reduce(factor: number, sentAt: Milliseconds, now: Milliseconds): void {
    if (sentAt < this.#reducedAt) {
      return;
    }
    this.#reducedAt = now;
    this.#growthAppliedUntil = now;
    this.#size = Math.max(MIN_WINDOW, this.#size * factor);
    this.#nextSendAt = this.#size < 1 ? Math.max(this.#nextSendAt, now + this.#sendInterval()) : now;
  }
}
