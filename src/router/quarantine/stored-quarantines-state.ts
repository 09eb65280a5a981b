/** State of the stored quarantines at the leader. */
import type { Milliseconds } from '../model/identifiers.js';

/** The leader's view of the stored object that holds the quarantines. */
export interface StoredQuarantinesState {
  /** The term in which the object was read, or null when it must be read first. */
  term: number | null;
  /** The revision of the object, or null when there is none. */
  revision: number | null;
  /** The fingerprints in the object and their states, as sorted text. */
  storedFingerprints: string;
  /** The same of the write in progress, or null. */
  pendingFingerprints: string | null;
  nextCallAt: Milliseconds;
}

/** Returns the state before the object has been read. */
export function createStoredQuarantinesState(): StoredQuarantinesState {
  return { term: null, revision: null, storedFingerprints: '', pendingFingerprints: null, nextCallAt: 0 };
}
