/** The part of a server's rate limit that one daemon may use. */
import type { RequestsPerSecond } from '../model/server-limit.js';
import { sendWindowInterval } from '../sharing/send-windows.js';
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Minimum request rate of all daemons together. A server with a limit of zero or nearly zero still gets an occasional trial request,
 * whose response shows when the limit ends.
 */
export const MIN_TOTAL_RATE: RequestsPerSecond = 0.2;
/** Fraction of a limit that is used while daemons take equal shares without coordination: their send windows may coincide. */
const UNCOORDINATED_FRACTION = 0.7;

/** The values from which a daemon's share of a limit is calculated. */
export interface LimitShare {
  readonly rate: RequestsPerSecond;
  /** Number of daemons that share the limit. */
  readonly daemons: number;
  /** Whether the leader grants permits; otherwise each daemon takes an equal share. */
  readonly isLeaderGranting: boolean;
}

/** Returns the rate at which all daemons together may send. */
export function totalSendRate(limit: RequestsPerSecond): RequestsPerSecond {
  return Math.max(MIN_TOTAL_RATE, limit);
}

/** Returns the interval between the send windows of a daemon that takes an equal share. */
export function equalShareInterval({ rate, daemons }: LimitShare): Milliseconds {
  return sendWindowInterval(totalSendRate(rate) * UNCOORDINATED_FRACTION, daemons);
}
