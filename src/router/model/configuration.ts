/** The configuration in force: routes, services and limits towards callers. Immutable. */
import type { Milliseconds, ServiceName } from './identifiers.js';

/** One part of a route's traffic. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Share relative to the other targets of the route. */
  readonly weight: number;
}

/** Which requests go where, and what may be done with them. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  /** The request may run more than once without harm. */
  readonly repeatable: boolean;
  /** The longest that a request is held. */
  readonly timeout: Milliseconds;
  /** An answer within this time is in time. */
  readonly latencyObjective: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Servers to which one request may be sent. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
}

/** A group of servers that do the same work. */
export interface Service {
  readonly name: ServiceName;
  /** Each key is owned by one server. */
  readonly keyed: boolean;
  /** Connections that one server accepts from all daemons together. */
  readonly connectionLimit: number;
  /** Where a server is asked whether it is well. */
  readonly healthPath: string;
  /** How long a server is cold after its start, or after its zone was evacuated. */
  readonly coldTime: Milliseconds;
  /** Requests a second that a cold server bears; 0: as many as a warm one. */
  readonly coldRequestRate: number;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** A whole configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, Service>;
  readonly limits: CallerLimits;
}
