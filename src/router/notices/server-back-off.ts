/**
 * The back-off that a server has asked this daemon for. The server is sent no request before the back-off ends, and one at a
 * time from then on until it has answered one: if several were sent at the end and the first were rejected, the
 * others would arrive during the next back-off.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** The back-off of one server at this daemon. */
export class ServerBackOff {
  #until: Milliseconds = Number.NEGATIVE_INFINITY;
  #isRecovering = false;

  /** Starts or extends the back-off. A shorter request never shortens it. Returns whether a back-off begins. */
  extend(length: Milliseconds, now: Milliseconds): boolean {
    const begins = this.left(now) === 0;
    this.#until = Math.max(this.#until, now + length);
    this.#isRecovering = true;
    return begins;
  }

  /** Returns the remaining time of the back-off, or 0. */
  left(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#until - now);
  }

  /** Whether one more request may be sent to the server. */
  allowsRequest(inFlight: number, now: Milliseconds): boolean {
    return now >= this.#until && (!this.#isRecovering || inFlight === 0);
  }

  /** Records an answer. The server is sent requests without limit again if this one was sent after the back-off. */
  recordAnswer(sentAt: Milliseconds): void {
    if (sentAt >= this.#until) {
      this.#isRecovering = false;
    }
  }
}
