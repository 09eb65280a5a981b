/** The time constants of requests that more than one module uses. */
import type { Milliseconds } from '../model/identifiers.js';

/** A request is held for this part of its latency objective before it is refused. */
export const HOLD_PART = 0.22;
/** A held request is tried again this often. */
export const HELD_RETRY: Milliseconds = 15;
/** When a caller should come back if nothing better is known. */
export const DEFAULT_RETRY_AFTER: Milliseconds = 150;
/** When a caller should come back to a full server: its next answer is about this far off. */
export const FULL_RETRY_AFTER: Milliseconds = 100;
/** A server that has just started is taken to need this many times as long, until its answers say more. */
export const COLD_FACTOR = 2;
