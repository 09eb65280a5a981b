/** Names of things in the router, as plain strings and numbers with a type each. */

/** The id of one life of a server: see `server-life.ts`. */
export type ServerId = string;
/** A service's name from the configuration. */
export type ServiceName = string;
/** A daemon's name from its settings. */
export type DaemonName = string;
/** A key of a keyed service: a whole number from 0 to `LAST_KEY`. */
export type Key = number;
/** Fencing token of one unit. Only ever grows. */
export type Fence = number;
/** Milliseconds on the steady clock of the process, or a length of time. */
export type Milliseconds = number;

/** The largest key. */
export const LAST_KEY: Key = 65_535;
/** What is listed and watched in the store. */
export type FeedName = 'configuration' | 'servers' | 'evacuations';
