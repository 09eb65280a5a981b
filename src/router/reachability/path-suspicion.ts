/**
 * Decides from the calls of this daemon whether its path to a service may be lost, so that it should be checked. Several servers that fail
 * to respond while none of the service does are more likely out of reach than all ended.
 */
import type { Milliseconds } from '../model/identifiers.js';
import type { KnownServer } from '../router-state.js';
import type { ServicePath } from './reachability-state.js';

/** A response is overdue after this many times the usual time of the service, and at least after this long. */
const OVERDUE_FACTOR = 1.5;
const MIN_OVERDUE_TIME: Milliseconds = 150;
/** A request that is overdue by this factor counts twice. */
const LONG_OVERDUE_FACTOR = 2;
/** Evidence that leads to a full round of checks: two servers, or one that is long overdue. */
const SUFFICIENT_EVIDENCE = 2;
/** Failed calls count for this long. */
const FAILURE_MEMORY: Milliseconds = 1_000;
/** Connections that fail within this time of each other have one cause. */
const CONNECTION_FAILURE_WINDOW: Milliseconds = 500;
const SUFFICIENT_CONNECTION_FAILURES = 2;

/** Returns when the oldest unanswered request that was sent to a server after `since` was sent; null: there is none. */
function oldestRequestSince({ load }: KnownServer, since: Milliseconds): Milliseconds | null {
  for (const sentAt of load.inFlight.values()) {
    if (sentAt > since) {
      return sentAt;
    }
  }
  return null;
}

/** Returns how much a server's silence since the last response of its service counts. */
function evidenceOf(server: KnownServer, heardAt: Milliseconds, now: Milliseconds): number {
  const { load, contact } = server;
  const hasFailed =
    contact.failedSince !== null &&
    contact.failedSince > heardAt &&
    now - contact.lastFailedAt < FAILURE_MEMORY;
  const sentAt = oldestRequestSince(server, heardAt);
  const overdueTime = Math.max(MIN_OVERDUE_TIME, OVERDUE_FACTOR * load.usualTime);
  const age = sentAt === null ? 0 : now - sentAt;
  if (age >= overdueTime * LONG_OVERDUE_FACTOR) {
    return SUFFICIENT_EVIDENCE;
  }
  return hasFailed || age >= overdueTime ? 1 : 0;
}

function haveConnectionsFailed({ failedConnections }: ServicePath, now: Milliseconds): boolean {
  for (const [server, failedAt] of failedConnections) {
    if (now - failedAt > CONNECTION_FAILURE_WINDOW) {
      failedConnections.delete(server);
    }
  }
  return failedConnections.size >= SUFFICIENT_CONNECTION_FAILURES;
}

/**
 * How much the calls to a service suggest that its path is lost. Weak suspicion is a single server that is overdue while none responds: a
 * daemon with few requests has no other evidence for long.
 */
export type Suspicion = 'none' | 'weak' | 'strong';

/** Returns how much the calls to the given servers of one service suggest that their path is lost. */
export function suspicionOf(path: ServicePath, servers: Iterable<KnownServer>, now: Milliseconds): Suspicion {
  if (haveConnectionsFailed(path, now)) {
    return 'strong';
  }
  if (now - path.heardAt < MIN_OVERDUE_TIME) {
    return 'none';
  }
  let evidence = 0;
  for (const server of servers) {
    evidence += evidenceOf(server, path.heardAt, now);
    if (evidence >= SUFFICIENT_EVIDENCE) {
      return 'strong';
    }
  }
  return evidence > 0 ? 'weak' : 'none';
}
