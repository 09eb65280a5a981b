/**
 * The rest that a server has asked this daemon for: it gets no request before the rest ends, and one at a time from then on until it has
 * answered one: of several that are sent at its end, those after the first that is rejected would come within the next rest.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** One server's rest, as this daemon owes it. */
export class ServerRest {
  #until: Milliseconds = Number.NEGATIVE_INFINITY;
  #isRecovering = false;

  /** The server asks for rest from now on. A shorter time never cuts a longer one short. Returns whether a rest begins. */
  ask(length: Milliseconds, now: Milliseconds): boolean {
    const begins = this.left(now) === 0;
    this.#until = Math.max(this.#until, now + length);
    this.#isRecovering = true;
    return begins;
  }

  /** How much of it is left. */
  left(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#until - now);
  }

  /** Whether one more request may go there while so many are there. */
  allows(inFlight: number, now: Milliseconds): boolean {
    return now >= this.#until && (!this.#isRecovering || inFlight === 0);
  }

  /** The server answered a request that was sent at some time: it takes them again, if that was after the rest. */
  noteAnswered(sentAt: Milliseconds): void {
    if (sentAt >= this.#until) {
      this.#isRecovering = false;
    }
  }
}
