/** Computes when the caller of a refused request should return: once a server is expected to have room for it, spread out at random. */
import type { Milliseconds } from '../model/identifiers.js';

/** Callers honour a retry time up to this fraction of the time that they have left; a longer one is of no use to them. */
const HONOURED_FRACTION = 1 / 3;
/** A server has room for a request that it is expected to answer within this fraction of the latency objective. */
const ROOM_FRACTION = 0.95;
/**
 * Fraction of the longest honoured time over which callers are spread when the load is expected to fall later than that. Sent back all at
 * the end of that time, they would return together.
 */
const LATE_SPREAD_FRACTION = 0.5;
/** Callers are spread at least over this time, so that no more than a fifth of them return within 50 ms. */
const MIN_SPREAD: Milliseconds = 250;
/**
 * The same for requests that were refused for another reason than the want of room, such as a spent retry budget: there is nothing to wait
 * for, and whoever returns later than necessary is answered late.
 */
const ROOM_NOW_SPREAD: Milliseconds = 150;

/** Inputs of a retry time. */
export interface RetryTimeInputs {
  /** Lowest expected response time of the servers that the request may go to. */
  readonly responseTime: Milliseconds;
  readonly latencyObjective: Milliseconds;
  /** Time until the deadline of the caller's request. */
  readonly timeLeft: Milliseconds;
  /** Shortest useful retry time, unless callers don't honour one as long. */
  readonly minimum: Milliseconds;
  /** Whether the request was refused for another reason than the want of room. */
  readonly hasRoom: boolean;
  /** Random number in [0, 1). */
  readonly fraction: number;
}

/** Returns the time after which the caller of a refused request should send it again. */
export function retryTime(inputs: RetryTimeInputs): Milliseconds {
  const { timeLeft, fraction } = inputs;
  const latest = Math.max(0, timeLeft) * HONOURED_FRACTION;
  const roomAt = timeUntilRoom(inputs);
  const earliest = Math.min(roomAt, latest * (1 - LATE_SPREAD_FRACTION));
  const spread = Math.min(spreadAfter(inputs, roomAt), latest - earliest);
  return earliest + spread * fraction;
}

/**
 * Returns the time until a server is expected to have room. While no more requests are sent to it, the expected response time of a server
 * falls by the time that passes.
 */
function timeUntilRoom({ responseTime, latencyObjective, minimum }: RetryTimeInputs): Milliseconds {
  return Math.max(minimum, responseTime - latencyObjective * ROOM_FRACTION);
}

/** Returns the time over which callers are spread: as long as room takes to come, since a small excess of load is gone soon. */
function spreadAfter({ hasRoom }: RetryTimeInputs, roomAt: Milliseconds): Milliseconds {
  return hasRoom ? ROOM_NOW_SPREAD : Math.max(MIN_SPREAD, roomAt);
}
