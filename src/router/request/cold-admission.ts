/** Rate at which all daemons together send requests to a cold server, one that has just started. */
import type { Milliseconds } from '../model/identifiers.js';
import { SEND_WINDOW, sendWindowInterval } from '../sharing/send-windows.js';

/** Bound on the requests that a cold server gets in one second. */
export interface ColdStartLimits {
  /** Multiplier of the request rate that the service's configuration gives for a cold server. */
  readonly factor: number;
  /** Requests in one second beyond the multiplied rate. */
  readonly slack: number;
}

const SECOND: Milliseconds = 1_000;
/**
 * Number of standard deviations between the mean number of send windows in a second and the bound. The windows of many daemons coincide at random,
 * and no second may have more requests than the bound.
 */
const STANDARD_DEVIATIONS = 5;

/**
 * Returns the mean rate, in requests a second, at which all daemons together may send to one cold server so that no second exceeds the bound.
 *
 * @param maxPerSecond bound on the requests in one second
 */
export function meanColdRate(maxPerSecond: number): number {
  // Solves m + d * sqrt(m) = maxPerSecond for the mean m. The last factor: one second overlaps send windows that begin in SECOND + SEND_WINDOW.
  const root =
    (Math.sqrt(STANDARD_DEVIATIONS * STANDARD_DEVIATIONS + 4 * maxPerSecond) - STANDARD_DEVIATIONS) / 2;
  return (root * root) / (1 + SEND_WINDOW / SECOND);
}

/** Returns the time between the starts of two send windows of one daemon at one cold server. */
export function coldSendInterval(maxPerSecond: number, daemons: number): Milliseconds {
  return sendWindowInterval(meanColdRate(maxPerSecond), daemons);
}
