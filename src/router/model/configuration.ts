/** The routing configuration: routes, services and limits on callers' requests. Immutable. */
import type { Milliseconds, ServiceName } from './identifiers.js';

/** A service that receives a share of a route's traffic. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Traffic share relative to the other targets of the route. */
  readonly weight: number;
}

/** Maps matching requests to services and says how they may be handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request is idempotent: it may be executed more than once without harm. */
  readonly repeatable: boolean;
  /** The longest time that a request may take. */
  readonly timeout: Milliseconds;
  /** Target latency: a response within this time counts as on time. */
  readonly latencyObjective: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of servers to which one request may be sent. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
}

/** A group of servers that execute the same kinds of requests. */
export interface Service {
  readonly name: ServiceName;
  /** Whether each key is owned by exactly one server. */
  readonly keyed: boolean;
  /** Number of connections that one server accepts from all daemons together. */
  readonly connectionLimit: number;
  /** Path of a server's health check. */
  readonly healthPath: string;
  /** How long a server is cold after its start, or after its zone was evacuated. */
  readonly coldTime: Milliseconds;
  /** Requests a second that a cold server can handle; 0: as many as a warm one. */
  readonly coldRequestRate: number;
}

/** Size limits and timeouts of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, Service>;
  readonly limits: CallerLimits;
}
