/**
 * How many requests a daemon may have at one owner of keys. The owner cannot be passed by, and what the other daemons
 * have there is not seen; what is seen is how long answers take. So the window shrinks when they come late or the
 * owner sheds requests, and grows while it is used and answers are quick, as a congestion window does. With many
 * daemons an owner has room for less than one request of each: then the window is a part of one, and says how long a
 * daemon waits between two requests. Owners shed fewer requests for it.
 */
import { equalPart } from '../sharing/equal-part.js';
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Before anything is known of an owner, all daemons together send it this many requests for each of its slots: more would make most of
 * its first answers late.
 */
const FIRST_PER_SLOT = 6;
const LARGEST_FIRST_WINDOW = 6;
/** Hundreds of daemons share an owner that has room for ten requests. */
const LEAST_WINDOW = 0.02;
const MOST_WINDOW = 64;
/** How long a request is taken to last before any was answered. */
const FIRST_DURATION: Milliseconds = 200;
/** Answers come late when their mean duration is more than this part of the latency objective. */
const LATE_PART = 0.7;
/** Weight of one answer in the mean: requests differ, one that is long says little. */
const ANSWER_WEIGHT = 0.25;
const AFTER_LATE = 0.75;
const AFTER_SHED = 0.5;
/** A window of answers that were quick adds this much; a window below one grows by this part. */
const GROWTH = 0.5;
/** A window below one that is not cut doubles in this time: hot keys last about as long. */
const DOUBLING_TIME: Milliseconds = 4_000;

/** Kept for each server. */
export class AdmissionWindow {
  #size: number;
  #meanDuration: Milliseconds | null = null;
  /** Answers to requests that were sent before the last cut say nothing new. */
  #cutAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /**
   * Until then the growth of a window below one has been counted. At first never: the first request makes a window that
   * begins below one a whole one, so that the owner is used from the first moment on.
   */
  #grownUntil: Milliseconds = Number.NEGATIVE_INFINITY;
  /** With a window below one: the next request may be sent then. */
  #opensAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param slots of the owner
   * @param daemons that share it
   */
  constructor(slots: number, daemons: number) {
    this.#size = Math.min(LARGEST_FIRST_WINDOW, equalPart(slots * FIRST_PER_SLOT, daemons));
  }

  /** Whether one more request may be sent beside those under way. */
  allows(inFlight: number, now: Milliseconds): boolean {
    if (this.#size >= 1) {
      return inFlight < Math.floor(this.#size);
    }
    return inFlight === 0 && now >= this.#opensAt;
  }

  /** A request is sent. */
  sent(now: Milliseconds): void {
    if (this.#size < 1) {
      this.#size = Math.min(1, this.#size * 2 ** ((now - this.#grownUntil) / DOUBLING_TIME));
      this.#grownUntil = now;
      this.#opensAt = now + this.#interval();
    }
  }

  /** An answer came. `inFlight` counts the others that are under way. */
  answered(duration: Milliseconds, objective: Milliseconds, inFlight: number, now: Milliseconds): void {
    const before = this.#meanDuration ?? duration;
    this.#meanDuration = before + (duration - before) * ANSWER_WEIGHT;
    if (this.#meanDuration > objective * LATE_PART) {
      this.#cut(AFTER_LATE, now - duration, now);
    } else if (inFlight + 1 >= Math.floor(this.#size)) {
      this.#size = Math.min(MOST_WINDOW, this.#size + GROWTH * Math.min(this.#size, 1 / this.#size));
    }
  }

  /** The owner would not take a request. */
  shed(sentAt: Milliseconds, now: Milliseconds): void {
    this.#cut(AFTER_SHED, sentAt, now);
  }

  /** Time between two requests that makes a window below one. */
  #interval(): Milliseconds {
    return (this.#meanDuration ?? FIRST_DURATION) / this.#size;
  }

  #cut(factor: number, sentAt: Milliseconds, now: Milliseconds): void {
    if (sentAt < this.#cutAt) {
      return;
    }
    this.#cutAt = now;
    this.#grownUntil = now;
    this.#size = Math.max(LEAST_WINDOW, this.#size * factor);
    this.#opensAt = this.#size < 1 ? Math.max(this.#opensAt, now + this.#interval()) : now;
  }
}
