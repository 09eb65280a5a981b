/**
 * Decides whether a server that leaves the leader's calls unanswered is at fault, or the leader's path to it. The leader's own calls alone
 * don't tell: the server may answer other daemons.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { KnownServer } from '../router-state.js';
import type { RouterContext } from '../router-context.js';
import { isPathOpen, requestPathCheck, requestServerCheck } from '../reachability/path-checks.js';
import { pathTo } from '../reachability/reachability-state.js';
import { wasReached } from './first-contact.js';
import type { Leadership, ServerLease } from './leadership-state.js';
import { isSilent } from './server-lease.js';
import { probeKnownServer } from './unit-calls.js';

/** Interval of probes to a silent server. Servers without units get no other calls that would show that they are back. */
const SILENT_PROBE_INTERVAL: Milliseconds = 500;

/** The same at most for a server that nobody has reached yet; the interval doubles with each probe. */
const MAX_UNREACHED_PROBE_INTERVAL: Milliseconds = 4_000;

/** Finds the servers at fault among those that leave calls unanswered, and probes silent ones. */
export function tickSilentServers(context: RouterContext, leadership: Leadership): void {
  for (const [server, lease] of leadership.leases) {
    const known = context.state.servers.get(server);
    if (lease.unanswered > 0 && !lease.ended) {
      evaluateServer(context, leadership, server, known, lease);
      probeSilentServer(context, leadership, known, lease);
    }
  }
}

function evaluateServer(
  context: RouterContext,
  leadership: Leadership,
  server: ServerId,
  known: KnownServer | undefined,
  lease: ServerLease,
): void {
  if (known !== undefined && known.contact.checkedAt < lease.unansweredSince) {
    requestServerCheck(context, known);
  }
  if (lease.unresponsive) {
    clearServer(context, leadership, server, lease);
    return;
  }
  if (!isSilent(leadership, lease, context.now)) {
    return;
  }
  if (known === undefined || isAtFault(context, leadership, known, lease)) {
    lease.unresponsive = true;
    lease.unresponsiveSince = context.now;
    const { unanswered } = lease;
    context.log('server_silent', { server, unanswered, check: describeCheck(known) });
    leadership.nextPlanAt = context.now;
  }
}

/** Lets a server keep its units that has answered another daemon after it was found unresponsive. */
function clearServer(
  context: RouterContext,
  leadership: Leadership,
  server: ServerId,
  lease: ServerLease,
): void {
  if (answersOthers(leadership, server, lease.unresponsiveSince)) {
    lease.unresponsive = false;
    context.log('server_answers', { server, outcome: 'it answers other daemons' });
    leadership.nextPlanAt = context.now;
  }
}

function describeCheck(known: KnownServer | undefined): string {
  if (known === undefined) {
    return 'not listed';
  }
  return known.contact.isOutOfReach ? 'no connection' : 'connected';
}

/**
 * Returns whether a silent server is at fault. The path is, if no other server of the service can be reached either, or if the server
 * answers other daemons.
 */
function isAtFault(
  context: RouterContext,
  leadership: Leadership,
  { server, contact }: KnownServer,
  { unansweredSince, silentSince }: ServerLease,
): boolean {
  const { state } = context;
  if (!isPathOpen(state, server.service) || contact.checkEndedAt < unansweredSince) {
    return false;
  }
  if (!contact.isOutOfReach) {
    return true;
  }
  if (pathTo(state.reachability, server.service).provenAt < unansweredSince) {
    requestPathCheck(context, server.service);
    return false;
  }
  return !answersOthers(leadership, server.id, silentSince);
}

/** Returns whether a server has answered a request of another daemon since a time. */
export function answersOthers({ answeredAt }: Leadership, server: ServerId, since: Milliseconds): boolean {
  return (answeredAt.get(server) ?? Number.NEGATIVE_INFINITY) > since;
}

function probeIntervalOf(
  leadership: Leadership,
  server: ServerId,
  { unanswered }: ServerLease,
): Milliseconds {
  return wasReached(leadership, server)
    ? SILENT_PROBE_INTERVAL
    : Math.min(MAX_UNREACHED_PROBE_INTERVAL, SILENT_PROBE_INTERVAL * 2 ** (unanswered - 1));
}

function probeSilentServer(
  context: RouterContext,
  leadership: Leadership,
  known: KnownServer | undefined,
  lease: ServerLease,
): void {
  const isDue = !lease.probeInFlight && context.now >= lease.nextProbeAt;
  if (known === undefined || !isDue || known.backOff.left(context.now) > 0) {
    return;
  }
  lease.nextProbeAt = context.now + probeIntervalOf(leadership, known.server.id, lease);
  probeKnownServer(context, leadership, known.server);
}
