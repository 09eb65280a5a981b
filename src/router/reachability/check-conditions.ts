/**
 * Decides which checks of a path prove nothing. A daemon whose event loop is late, or whose link is full of its own output, can't tell its own
 * delay from a lost path.
 */
import { CHECK_TIMED_OUT, type CheckConditions, type PathCheckedEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';

/** Several times as long as a connection takes to open between regions, and shorter than a retransmission. */
export const CHECK_TIMEOUT: Milliseconds = 200;
/** A check is inconclusive if the event loop was later than this during it. */
const MAX_LOOP_DELAY: Milliseconds = CHECK_TIMEOUT / 4;
/** Half of what a link of 10 Mbit/s carries within the timeout. The system's buffers may hold this much although it has accepted the writes. */
const MAX_RECENT_OUTPUT_BYTES = 125_000;

/** A leader with more unanswered calls to servers may have filled its link with them: with 300 units it makes about this many within the timeout. */
const MAX_PENDING_CALLS = 64;

/** Returns whether this daemon may have been too busy to notice that a connection came up. */
export function isBusy({ loopDelay, unwrittenBytes, recentlyWrittenBytes }: CheckConditions): boolean {
  const isOutputBackedUp = unwrittenBytes > 0 || recentlyWrittenBytes > MAX_RECENT_OUTPUT_BYTES;
  return loopDelay > MAX_LOOP_DELAY || isOutputBackedUp;
}

/**
 * Returns whether the outcome of a check says nothing about the path. A connection and a refusal are always conclusive.
 *
 * @param pendingCalls this daemon's calls to servers, as the leader, that are unanswered
 */
export function isInconclusive(check: PathCheckedEvent, pendingCalls: number): boolean {
  return check.failure === CHECK_TIMED_OUT && (isBusy(check) || pendingCalls > MAX_PENDING_CALLS);
}
