/** What changes when the path to the servers of a service is lost, and when it is back. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { sendReportNow } from '../tree/reports.js';
import { MIN_CHECK_INTERVAL, type ServicePath } from './reachability-state.js';

/** Interval of checks while the path is lost. */
export const LOST_CHECK_INTERVAL: Milliseconds = 200;

/** Ends the use of a path. */
export function losePath(context: RouterContext, service: ServiceName, path: ServicePath): void {
  const { state, now } = context;
  path.status = 'lost';
  path.lostAt = now;
  const doubtful = path.doubtfulSince === null ? 0 : Math.round(now - path.doubtfulSince);
  path.doubtfulSince = null;
  path.successfulChecks = 0;
  path.nextCheckAt = now + LOST_CHECK_INTERVAL;
  state.counters.paths_lost += 1;
  const since = Math.round(now - path.failedSince);
  context.log('path_lost', { service, checks: path.outcomes, since, doubtful }, 'warn');
  const servers = [...(state.serversByService.get(service)?.values() ?? [])];
  discardSilence(servers, path.failedSince);
  withdrawUnsentAttempts(context, service);
  for (const { server } of servers) {
    context.emit({ kind: 'forgetConnections', address: server.address });
  }
  sendReportNow(context);
}

/** Discards times of unanswered requests that are not reported yet: the servers did not work on them. */
function discardSilence(servers: readonly KnownServer[], since: Milliseconds): void {
  for (const { load } of servers) {
    if (load.lastAnswerAt <= since) {
      load.unreported.total = 0;
      load.unreported.requests = 0;
    }
  }
}

function withdrawUnsentAttempts(context: RouterContext, service: ServiceName): void {
  for (const request of context.state.requests.values()) {
    if (request.service === service && request.server !== null) {
      context.emit({ kind: 'withdraw', requestId: request.id, attempt: request.attemptNumber });
    }
  }
}

/** Uses a path again. */
export function restorePath(context: RouterContext, service: ServiceName, path: ServicePath): void {
  const { state, now } = context;
  path.status = 'open';
  path.nextCheckAt = now + MIN_CHECK_INTERVAL;
  path.checkInterval = MIN_CHECK_INTERVAL;
  path.heardAt = now;
  path.failedConnections.clear();
  for (const { load, contact } of state.serversByService.get(service)?.values() ?? []) {
    load.forgetFailures();
    contact.failedSince = null;
    contact.isOutOfReach = false;
  }
  context.log('path_restored', { service, lasted: Math.round(now - path.lostAt) });
  sendReportNow(context);
}
