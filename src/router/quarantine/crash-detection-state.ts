/** State of crash detection: servers that closed connections under requests and may have crashed. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestFingerprint } from '../model/request-fingerprint.js';
import type { ServerDescription } from '../model/server.js';

/** A server that closed connections under requests, until it is known whether its process has ended. */
export interface SuspectedCrash {
  readonly server: ServerDescription;
  /** When the first of these connections closed. */
  readonly brokenAt: Milliseconds;
  /** The requests that were in flight on these connections. */
  readonly requests: Set<RequestFingerprint>;
  nextProbeAt: Milliseconds;
  probes: number;
  /** What this daemon's own failed calls indicate; counts only once its path to the service is known to work. Null: nothing. */
  evidence: string | null;
}

/** The suspected crashes that this daemon has not decided yet. */
export interface CrashDetectionState {
  readonly broken: Map<ServerId, SuspectedCrash>;
  /** Servers with a probe in progress, by the number of the control call. */
  readonly probes: Map<number, ServerId>;
}

/** Returns the state of a daemon that has seen no connection break. */
export function createCrashDetectionState(): CrashDetectionState {
  return { broken: new Map(), probes: new Map() };
}
