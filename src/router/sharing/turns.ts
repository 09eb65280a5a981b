/**
 * A rate that holds for all daemons together, which do not see each other's requests: each may send one request in each of its turns. The
 * turns of a daemon come at a time of its own and so far apart that those of all daemons add up to the rate. A turn that is not used is lost,
 * since requests that were saved up would come at once.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** A turn lasts this long: long enough that a busy daemon has a request for it. */
export const TURN: Milliseconds = 250;
const SECOND: Milliseconds = 1_000;

/** Time between the beginnings of two turns of one daemon, for a rate in requests a second. */
export function turnInterval(rate: number, daemons: number): Milliseconds {
  return (daemons * SECOND) / rate;
}

/** One daemon's turns at one server. */
export class Turns {
  /** Part of the interval at which the turns begin: drawn for each daemon and server. */
  readonly #phase: number;
  #usedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param phase from 0 to 1 */
  constructor(phase: number) {
    this.#phase = phase;
  }

  /** Whether a request may be sent now. */
  allows(interval: Milliseconds, now: Milliseconds): boolean {
    const intoTurn = this.#sinceBeginning(interval, now);
    const isTurn = intoTurn < TURN;
    // The longest time between requests of one turn and the next, less a turn; turns that touch are one request each.
    const sinceUse = now - this.#usedAt;
    return isTurn && sinceUse >= Math.max(interval - TURN, intoTurn, interval / 2);
  }

  /** Time until the next turn begins. */
  untilNext(interval: Milliseconds, now: Milliseconds): Milliseconds {
    return interval - this.#sinceBeginning(interval, now);
  }

  /** A request is sent. */
  use(now: Milliseconds): void {
    this.#usedAt = now;
  }

  #sinceBeginning(interval: Milliseconds, now: Milliseconds): Milliseconds {
    return (now + this.#phase * interval) % interval;
  }
}
