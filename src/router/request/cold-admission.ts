/**
 * Bounds what a server gets while it is cold. The bound holds for all daemons together, which do not see each other's
 * requests: each may send one request in each of its turns. The turns of a daemon come at a time of its own and so far
 * apart that those of all daemons add up to the bound with room for chance. A turn that is not used is lost, since
 * requests that were saved up would come at once.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** How many requests in one second a cold server may get. */
export interface ColdStartLimits {
  /** Multiplies the rate that a server of the service bears while it is cold. */
  readonly factor: number;
  /** Requests beyond that. */
  readonly slack: number;
}

/** A turn lasts this long: long enough that a busy daemon has a request for it. */
export const TURN: Milliseconds = 250;
const SECOND: Milliseconds = 1_000;
/**
 * The bound lies this many standard deviations above the mean of all turns in a second, since turns of many daemons fall as
 * chance has it. With 5, none of 600 random histories of 1 to 570 daemons passes the bound (`test-cold-admission.ts`).
 */
const DEVIATIONS = 5;

/**
 * Requests a second that all daemons together send to one cold server, so that no second has more than the bound.
 *
 * @param most requests that may come in one second
 */
export function coldRate(most: number): number {
  // A mean m with m + d * sqrt(m) = most; a second touches the turns of a little more than a second.
  const root = (Math.sqrt(DEVIATIONS * DEVIATIONS + 4 * most) - DEVIATIONS) / 2;
  return (root * root) / (1 + TURN / SECOND);
}

/** Time between the beginnings of two turns of one daemon. */
export function turnInterval(most: number, daemons: number): Milliseconds {
  return (daemons * SECOND) / coldRate(most);
}

/** One daemon's turns at one server. */
export class ColdAdmission {
  /** Part of the interval at which the turns begin: drawn for each daemon and server. */
  readonly #phase: number;
  #usedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param phase from 0 to 1 */
  constructor(phase: number) {
    this.#phase = phase;
  }

  /** Whether a request may be sent now. */
  allows(interval: Milliseconds, now: Milliseconds): boolean {
    const intoTurn = (now + this.#phase * interval) % interval;
    const isTurn = intoTurn < TURN;
    // The longest time between requests of one turn and the next, less a turn; turns that touch are one request each.
    const sinceUse = now - this.#usedAt;
    return isTurn && sinceUse >= Math.max(interval - TURN, intoTurn, interval / 2);
  }

  /** A request is sent. */
  use(now: Milliseconds): void {
    this.#usedAt = now;
  }
}
