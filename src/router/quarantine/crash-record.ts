/** What daemons tell each other of requests under which servers have ended. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** A server that ended while it had a request. */
export interface CrashedServer {
  readonly server: ServerId;
  /** How long ago its connection broke. */
  readonly age: Milliseconds;
  /** Names of copies of the request that were lost there, a few of them; absent: not counted. */
  readonly copies?: string[];
}

/** What daemons tell each other of one request. */
export interface CrashRecord {
  /** The value of the request's fingerprint. */
  readonly fingerprint: string;
  readonly ended: CrashedServer[];
  /** Servers whose ends don't count: they answered afterwards, or the request was answered elsewhere. */
  readonly exonerated: ServerId[];
  /** The request is kept from servers. */
  readonly quarantined: boolean;
  /** It was sent once more in spite of that, and the server's side ended the connection again. */
  readonly retested: boolean;
}

/** A record that says nothing of a request. */
export function emptyRecord(fingerprint: string): CrashRecord {
  return { fingerprint, ended: [], exonerated: [], quarantined: false, retested: false };
}
