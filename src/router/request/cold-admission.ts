/** The rate at which all daemons together send requests to a server that is cold. */
import type { Milliseconds } from '../model/identifiers.js';
import { TURN, turnInterval } from '../sharing/turns.js';

/** How many requests in one second a cold server may get. */
export interface ColdStartLimits {
  /** Multiplies the rate that a server of the service bears while it is cold. */
  readonly factor: number;
  /** Requests beyond that. */
  readonly slack: number;
}

const SECOND: Milliseconds = 1_000;
/**
 * The bound lies this many standard deviations above the mean of all turns in a second: turns of many daemons fall as chance has it, and no
 * second may have more than the bound.
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

/** Time between the beginnings of two turns of one daemon at one cold server. */
export function coldInterval(most: number, daemons: number): Milliseconds {
  return turnInterval(coldRate(most), daemons);
}
