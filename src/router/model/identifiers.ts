/** Type aliases for identifiers and other plain values of the router. */

/** The id of one incarnation of a server: see `server-incarnation.ts`. */
export type ServerId = string;
/** The name of a service in the configuration. */
export type ServiceName = string;
/** The name of a daemon in its settings. */
export type DaemonName = string;
/** A key of a keyed service: a whole number from 0 to `LAST_KEY`. */
export type Key = number;
/** The fencing token of a unit. It never decreases. */
export type Fence = number;
/** A time on the monotonic clock of the process, or a duration. */
export type Milliseconds = number;

/** The largest key. */
export const LAST_KEY: Key = 65_535;
/** The lists in the store that daemons watch. */
export type FeedName = 'configuration' | 'servers' | 'evacuations';
