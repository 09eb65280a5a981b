/** The records that daemons exchange about requests under which servers crashed. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** A server that crashed while it was running a request. */
export interface CrashedServer {
  readonly server: ServerId;
  /** How long ago the connection to the server broke. */
  readonly age: Milliseconds;
  /** Names of copies of the request that were lost with the server, a few of them; absent: not counted. */
  readonly copies?: string[];
}

/** The crashes attributed to one request. */
export interface CrashRecord {
  /** The value of the request's fingerprint. */
  readonly fingerprint: string;
  readonly ended: CrashedServer[];
  /** Servers whose crashes don't count: they answered afterwards, or another server answered the request. */
  readonly exonerated: ServerId[];
  /** Whether the request is no longer sent to servers. */
  readonly quarantined: boolean;
  /** Whether the quarantined request was sent once more and the server's side closed the connection again. */
  readonly retested: boolean;
  /** Whether the store says that the request is held back, so that this is not confirmed again. */
  readonly heldBack: boolean;
}

/** Returns a record of a request without crashes. */
export function emptyCrashRecord(fingerprint: string): CrashRecord {
  return { fingerprint, ended: [], exonerated: [], quarantined: false, retested: false, heldBack: false };
}
