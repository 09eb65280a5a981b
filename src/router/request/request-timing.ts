/** Constants of the request path that more than one module uses. */
import type { Milliseconds } from '../model/identifiers.js';

/** Fraction of its latency objective for which a request is held before it is refused. */
export const HOLD_FRACTION = 0.22;
/** Time between two dispatches of a held request that waits for something else than room at a server. */
export const HELD_RETRY_INTERVAL: Milliseconds = 15;
/** Time after which a caller should retry when nothing more exact is known. */
export const DEFAULT_RETRY_AFTER: Milliseconds = 150;
/** Time after which a caller should retry when a server is at capacity, about the time until its next answer. */
export const OVERLOAD_RETRY_AFTER: Milliseconds = 100;
/** Factor by which a server that has just started is assumed to be slower, until its answers show its speed. */
export const COLD_SLOWDOWN = 2;
