/** Request counts by key, which the leader uses to assign keys. */
import type { Key } from '../model/identifiers.js';

/** Number of requests for each key. */
export type KeyRequestCounts = Map<Key, number>;
