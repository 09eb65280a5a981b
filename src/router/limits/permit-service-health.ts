/** State of this daemon's connection to the leader's permit service. */
import type { Milliseconds } from '../model/identifiers.js';

/** Whether the leader answers this daemon's permit requests. */
export interface PermitServiceHealth {
  /** A permit request timed out, and no answer has arrived since. */
  isUnresponsive: boolean;
  /** When the leader is next sent a permit request that only tests whether it answers again. */
  nextProbeAt: Milliseconds;
}
