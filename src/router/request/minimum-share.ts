/**
 * Guarantees less urgent requests of a service a part of its capacity while more urgent ones wait for room. The less urgent requests earn a
 * fixed part of the time that requests spend at servers, and spend the time that they are at servers themselves.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** Fraction of the requests at servers that may be less urgent ones while more urgent ones wait: no route is starved. */
const MINIMUM_SHARE = 0.1;
/** Bound of the credit and of the debt: what happened before this time has no effect. */
const MAX_CREDIT: Milliseconds = 1_000;
/** Without an update for this long, no less urgent request has waited for a more urgent one, and no credit is earned. */
const MAX_UPDATE_GAP: Milliseconds = 100;

export class MinimumShare {
  #credit: Milliseconds = 0;
  #hasSent = false;
  #updatedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * Counts the time since the last update.
   *
   * @param lessUrgent requests at servers of less urgent routes than the one that waits
   * @param all requests at servers of all routes
   */
  update(lessUrgent: number, all: number, now: Milliseconds): void {
    const sinceUpdate = now - this.#updatedAt;
    const elapsed = sinceUpdate <= MAX_UPDATE_GAP ? sinceUpdate : 0;
    const credit = this.#credit + (all * MINIMUM_SHARE - lessUrgent) * elapsed;
    this.#credit = Math.min(MAX_CREDIT, Math.max(-MAX_CREDIT, credit));
    this.#updatedAt = now;
    this.#hasSent = false;
  }

  /**
   * Returns whether a less urgent request may be sent although a more urgent one waits.
   *
   * @param workTime mean time of a request on a slot; less credit is earned in any short wait of a more urgent request
   */
  allowsSend(workTime: Milliseconds): boolean {
    return !this.#hasSent && this.#credit >= Math.min(workTime, MAX_CREDIT);
  }

  /** Records that one was sent: the next one has to wait for an update that counts it. */
  recordSend(): void {
    this.#hasSent = true;
  }
}
