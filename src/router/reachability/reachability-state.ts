/** Whether this daemon has a path to the servers of each service, and the checks in progress. */
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';

/**
 * - `open`: as far as this daemon knows, it can reach servers of the service.
 * - `checking`: calls to several servers have failed, and connections to some of them are being opened to find out.
 * - `lost`: none of these connections could be opened.
 */
export type PathStatus = 'open' | 'checking' | 'lost';

/** The path from this daemon to the servers of one service. */
export interface ServicePath {
  status: PathStatus;
  /** When a server of the service last responded. */
  heardAt: Milliseconds;
  /** When a server of the service last responded or accepted a connection. */
  provenAt: Milliseconds;
  /** When the first of the failed calls began that led to the current check or loss. */
  failedSince: Milliseconds;
  /** When the path was declared lost. */
  lostAt: Milliseconds;
  /** Servers that connections could not be opened to, with the time of the failure. */
  readonly failedConnections: Map<ServerId, Milliseconds>;
  checksInProgress: number;
  /** The round has begun with one check on weak suspicion, and the others have not been sent. */
  isTentative: boolean;
  /** When the current round of checks began. */
  roundStartedAt: Milliseconds;
  /** Checks of the current round that were inconclusive. */
  inconclusiveChecks: number;
  /** Those of them that were inconclusive because this daemon's event loop was late or its output was backed up. */
  busyChecks: number;
  /** When the first of the consecutive rounds began that were inconclusive; null: the last one was not. */
  doubtfulSince: Milliseconds | null;
  /** Outcomes of the current round of checks, for the log. */
  outcomes: string[];
  /** Consecutive successful checks since the path was lost. */
  successfulChecks: number;
  nextCheckAt: Milliseconds;
  /** Time until the next round of checks may begin after one that found the path open. */
  checkInterval: Milliseconds;
}

/** A check in progress: whether a connection to a server can be opened. */
export interface PathCheck {
  readonly service: ServiceName;
  readonly server: ServerId;
  /** Whether the check concerns this server only, and not the path to the service. */
  readonly isOfServerOnly: boolean;
}

export interface ReachabilityState {
  readonly paths: Map<ServiceName, ServicePath>;
  /** Checks in progress, by id. */
  readonly checks: Map<number, PathCheck>;
  /** Servers that are checked by themselves until they are in reach. */
  readonly failingServers: Set<ServerId>;
  nextEvaluationAt: Milliseconds;
}

/** Time until the next round of checks after the first one that found the path open. */
export const MIN_CHECK_INTERVAL: Milliseconds = 200;

/** Returns the state of a daemon that has called no server. */
export function createReachabilityState(): ReachabilityState {
  return { paths: new Map(), checks: new Map(), failingServers: new Set(), nextEvaluationAt: 0 };
}

/** Returns the path to a service, created on first use. */
export function pathTo({ paths }: ReachabilityState, service: ServiceName): ServicePath {
  let path = paths.get(service);
  if (path === undefined) {
    path = {
      status: 'open',
      heardAt: Number.NEGATIVE_INFINITY,
      provenAt: Number.NEGATIVE_INFINITY,
      failedSince: Number.NEGATIVE_INFINITY,
      lostAt: Number.NEGATIVE_INFINITY,
      failedConnections: new Map(),
      checksInProgress: 0,
      isTentative: false,
      roundStartedAt: Number.NEGATIVE_INFINITY,
      inconclusiveChecks: 0,
      busyChecks: 0,
      doubtfulSince: null,
      outcomes: [],
      successfulChecks: 0,
      nextCheckAt: 0,
      checkInterval: MIN_CHECK_INTERVAL,
    };
    paths.set(service, path);
  }
  return path;
}
