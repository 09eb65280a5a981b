/** Whether a daemon reaches the leader that grants permits. */
import type { Milliseconds } from '../model/identifiers.js';

/** Whether this daemon reaches the daemon that grants permits. */
export interface PermitContact {
  /** An ask has had no answer, and none has come since. */
  isSilent: boolean;
  nextProbeAt: Milliseconds;
}
