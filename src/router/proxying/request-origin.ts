/** What a daemon tells a proxy of a request that it sends there, beside the request itself. */
import type { DaemonName, Milliseconds, ServiceName } from '../model/identifiers.js';

export interface RequestOrigin {
  /** The daemon that took the request from its caller. */
  readonly daemon: DaemonName;
  /** The service that it chose among the targets of the route. */
  readonly service: ServiceName;
  /** Attempts at servers that it has already made or paid for. */
  readonly attempts: number;
  /** Time since the request arrived there. */
  readonly age: Milliseconds;
}
