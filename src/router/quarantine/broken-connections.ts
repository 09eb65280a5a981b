/** Connections that servers ended, until it is known whether their processes have. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestFingerprint } from '../model/request-fingerprint.js';
import type { ServerDescription } from '../model/server.js';

/** A server whose side ended connections, until it is known why. */
export interface BrokenConnection {
  readonly server: ServerDescription;
  readonly brokenAt: Milliseconds;
  /** The requests that were there. */
  readonly requests: Set<RequestFingerprint>;
  nextProbeAt: Milliseconds;
  probes: number;
}

/** What a daemon has seen break and does not understand yet. */
export interface ServerEnds {
  readonly broken: Map<ServerId, BrokenConnection>;
  /** Servers that are probed, by the number of the call. */
  readonly probes: Map<number, ServerId>;
}

/** Nothing has been seen. */
export function createServerEnds(): ServerEnds {
  return { broken: new Map(), probes: new Map() };
}
