/** What a leader knows of the stored quarantines. */
import type { Milliseconds } from '../model/identifiers.js';

/** What a leader knows of the stored object. */
export interface StoredQuarantines {
  /** The leadership for which it was read, or null. */
  term: number | null;
  /** Null: there is no object. */
  revision: number | null;
  /** The requests that it names, as text. */
  content: string;
  /** Those that are being written, or null. */
  writing: string | null;
  nextCallAt: Milliseconds;
}

/** Nothing has been read. */
export function createStoredQuarantines(): StoredQuarantines {
  return { term: null, revision: null, content: '', writing: null, nextCallAt: 0 };
}
