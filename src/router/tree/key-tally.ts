/** How often callers asked for keys. */
import type { Key } from '../model/identifiers.js';

/** How often each key was asked for. */
export type KeyTally = Map<Key, number>;
