/** What one daemon may send to a server with a limit. */
import type { RequestsPerSecond } from '../model/server-limit.js';
import { turnInterval } from '../sharing/turns.js';
import type { Milliseconds } from '../model/identifiers.js';

/**
 * A server that takes nothing, or next to nothing, still gets a trial now and then, of all daemons together: by its answer they learn when its
 * limit ends.
 */
export const LEAST_RATE: RequestsPerSecond = 0.2;
/** Part of a limit that is used while each daemon takes an equal share by itself: their turns may fall together. */
const UNDEALT_PART = 0.7;

/** What the share of a limit is worked out from. */
export interface LimitShare {
  readonly rate: RequestsPerSecond;
  /** Daemons that share it. */
  readonly daemons: number;
  /** The leader grants permits; otherwise each daemon takes an equal share. */
  readonly hasGrants: boolean;
}

/** The rate at which all daemons together send. */
export function usedRate(limit: RequestsPerSecond): RequestsPerSecond {
  return Math.max(LEAST_RATE, limit);
}

/** Time between two turns of a daemon that takes an equal share. */
export function equalShareInterval({ rate, daemons }: LimitShare): Milliseconds {
  return turnInterval(usedRate(rate) * UNDEALT_PART, daemons);
}
