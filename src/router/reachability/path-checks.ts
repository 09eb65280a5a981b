/**
 * Finds out whether this daemon has lost its path to the servers of a service, by opening connections to some of them. What the daemon's
 * own requests show is not enough: a server that is slow, or a connection that went silent, looks the same.
 */
import type { PathCheckedEvent } from '../events.js';
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { KnownServer, RouterState } from '../router-state.js';
import type { RouterContext } from '../router-context.js';
import { CHECK_TIMEOUT, isBusy, isInconclusive } from './check-conditions.js';
import { LOST_CHECK_INTERVAL, losePath, restorePath } from './lost-path.js';
import { suspicionOf } from './path-suspicion.js';
import { MIN_CHECK_INTERVAL, pathTo, type PathCheck, type ServicePath } from './reachability-state.js';

/** Interval at which the calls of this daemon are evaluated. */
const EVALUATION_INTERVAL: Milliseconds = 40;
/** Servers of a service that are checked in one round. The path is lost if none of them can be reached. */
const CHECKS_PER_ROUND = 3;
/** A round that begins with one check goes on with the others if that one has not ended after this long. */
const TENTATIVE_TIME: Milliseconds = 40;
const MAX_CHECK_INTERVAL: Milliseconds = 2_000;
/**
 * Rounds of checks are repeated for this long while they are inconclusive; then they count. An owner's lease ends 1,650 ms after the leader
 * has lost its path at the earliest, and another daemon that reaches the owner must lead by then.
 */
const MAX_DOUBT: Milliseconds = 1_200;
/** Consecutive successful checks after which a lost path is used again. */
const CHECKS_TO_RESTORE = 2;
/** Interval of the checks of a single server. */
const SERVER_CHECK_INTERVAL: Milliseconds = 500;

/** Returns whether this daemon can't open connections to the servers of a service. */
export function isPathLost({ reachability }: RouterState, service: ServiceName): boolean {
  return reachability.paths.get(service)?.status === 'lost';
}

/** Returns whether this daemon can reach the servers of a service as far as it knows, with no check in progress. */
export function isPathOpen({ reachability }: RouterState, service: ServiceName): boolean {
  return (reachability.paths.get(service)?.status ?? 'open') === 'open';
}

/** Returns the services whose servers are out of this daemon's reach. */
export function lostServices({ reachability }: RouterState): ServiceName[] {
  return [...reachability.paths].filter(([, { status }]) => status === 'lost').map(([service]) => service);
}

/** Records a response of a server. */
export function recordServerHeard({ state, now }: RouterContext, { server, contact }: KnownServer): void {
  const path = pathTo(state.reachability, server.service);
  contact.recordHeard(now);
  path.heardAt = now;
  path.provenAt = now;
  path.checkInterval = MIN_CHECK_INTERVAL;
}

/** Records that a control call to a server ended without a response. */
export function recordUnansweredControlCall(
  { now }: RouterContext,
  { contact }: KnownServer,
  startedAt: Milliseconds,
): void {
  contact.recordFailure(startedAt, now);
}

/** Records that a connection to a server could not be opened. */
export function recordConnectionFailure(
  context: RouterContext,
  known: KnownServer,
  startedAt: Milliseconds,
): void {
  const { server, contact } = known;
  contact.recordFailure(startedAt, context.now);
  const path = pathTo(context.state.reachability, server.service);
  path.failedConnections.set(server.id, context.now);
  evaluatePath(context, server.service, path);
  if (path.status === 'open') {
    requestServerCheck(context, known);
  }
}

/** Begins checks where calls of this daemon fail, and repeats those of lost paths. */
export function tickReachability(context: RouterContext): void {
  const { state, now } = context;
  const { reachability } = state;
  if (now < reachability.nextEvaluationAt) {
    return;
  }
  reachability.nextEvaluationAt = now + EVALUATION_INTERVAL;
  for (const service of state.serversByService.keys()) {
    const path = pathTo(reachability, service);
    if (path.status === 'lost') {
      checkLostPath(context, service, path);
    } else if (path.status === 'checking') {
      continueTentativeRound(context, service, path);
    } else {
      evaluatePath(context, service, path);
    }
  }
  checkFailingServers(context);
}

/** Sends the other checks of a round whose first one has not come up as soon as one usually does. */
function continueTentativeRound(context: RouterContext, service: ServiceName, path: ServicePath): void {
  if (path.isTentative && context.now - path.roundStartedAt >= TENTATIVE_TIME) {
    path.isTentative = false;
    const servers = chooseServers(context, service, CHECKS_PER_ROUND - 1);
    path.checksInProgress += servers.length;
    servers.forEach((known) => checkServer(context, known, false));
  }
}

function evaluatePath(context: RouterContext, service: ServiceName, path: ServicePath): void {
  const { state, now } = context;
  const servers = state.serversByService.get(service);
  if (path.status !== 'open' || now < path.nextCheckAt || servers === undefined) {
    return;
  }
  const suspicion = suspicionOf(path, servers.values(), now);
  if (suspicion !== 'none') {
    beginRound(context, service, path, suspicion === 'strong' ? CHECKS_PER_ROUND : 1);
  }
}

/** Begins a round of checks for a service unless one is in progress. */
export function requestPathCheck(context: RouterContext, service: ServiceName): void {
  const path = pathTo(context.state.reachability, service);
  if (path.status === 'open') {
    beginRound(context, service, path, CHECKS_PER_ROUND);
  }
}

function beginRound(context: RouterContext, service: ServiceName, path: ServicePath, count: number): void {
  path.failedSince = Math.max(path.heardAt, context.now - MAX_CHECK_INTERVAL);
  sendChecks(context, service, path, count);
}

/** Sends the first checks of a round: all of them, or one of which the outcome decides on the others. */
function sendChecks(context: RouterContext, service: ServiceName, path: ServicePath, count: number): void {
  const { state, now } = context;
  const servers = chooseServers(context, service, count);
  if (servers.length === 0) {
    path.status = 'open';
    return;
  }
  path.status = 'checking';
  path.isTentative = count < CHECKS_PER_ROUND;
  path.roundStartedAt = now;
  path.inconclusiveChecks = 0;
  path.busyChecks = 0;
  path.checksInProgress = servers.length;
  path.outcomes = [];
  servers.forEach((known) => checkServer(context, known, false));
  state.counters.path_check_rounds += 1;
}

/** Returns servers of a service in a random order, of as many zones as possible. */
function chooseServers({ state }: RouterContext, service: ServiceName, count: number): KnownServer[] {
  const remaining = [...(state.serversByService.get(service)?.values() ?? [])];
  const chosen: KnownServer[] = [];
  while (chosen.length < count && remaining.length > 0) {
    const zones = new Set(chosen.map(({ server }) => server.zone));
    const offset = state.random.integerBelow(remaining.length);
    const rotated = [...remaining.slice(offset), ...remaining.slice(0, offset)];
    const next = rotated.find(({ server }) => !zones.has(server.zone)) ?? (rotated[0] as KnownServer);
    chosen.push(next);
    remaining.splice(remaining.indexOf(next), 1);
  }
  return chosen;
}

function checkServer(context: RouterContext, known: KnownServer, isOfServerOnly: boolean): void {
  const { id, service, address } = known.server;
  const checkId = context.state.nextCallId;
  context.state.nextCallId += 1;
  known.contact.checkedAt = context.now;
  context.state.counters.path_checks += 1;
  context.state.reachability.checks.set(checkId, { service, server: id, isOfServerOnly });
  context.emit({ kind: 'checkPath', checkId, address, timeout: CHECK_TIMEOUT });
}

/** Checks whether a single server is in reach whose calls fail, and goes on until it is. */
export function requestServerCheck(context: RouterContext, known: KnownServer): void {
  context.state.reachability.failingServers.add(known.server.id);
  if (context.now - known.contact.checkedAt >= SERVER_CHECK_INTERVAL) {
    checkServer(context, known, true);
  }
}

function checkFailingServers(context: RouterContext): void {
  const { reachability, servers } = context.state;
  for (const id of reachability.failingServers) {
    const known = servers.get(id);
    if (known === undefined || (known.contact.failedSince === null && !known.contact.isOutOfReach)) {
      reachability.failingServers.delete(id);
    } else if (!isPathLost(context.state, known.server.service)) {
      requestServerCheck(context, known);
    }
  }
}

function checkLostPath(context: RouterContext, service: ServiceName, path: ServicePath): void {
  if (path.checksInProgress > 0 || context.now < path.nextCheckAt) {
    return;
  }
  const [known] = chooseServers(context, service, 1);
  if (known === undefined) {
    path.status = 'open';
    return;
  }
  path.nextCheckAt = context.now + LOST_CHECK_INTERVAL;
  path.checksInProgress = 1;
  checkServer(context, known, false);
}

/** Handles the end of a check. */
export function receivePathChecked(context: RouterContext, event: PathCheckedEvent): void {
  const { state } = context;
  const check = state.reachability.checks.get(event.checkId);
  if (check === undefined) {
    return;
  }
  state.reachability.checks.delete(event.checkId);
  const isReached = event.failure === null;
  const path = pathTo(state.reachability, check.service);
  const isDoubtful = isInconclusive(event, state.leadership?.pendingCalls.size ?? 0);
  state.counters.path_checks_inconclusive += isDoubtful ? 1 : 0;
  const contact = state.servers.get(check.server)?.contact;
  if (contact !== undefined) {
    contact.isOutOfReach = isDoubtful ? contact.isOutOfReach : !isReached;
    contact.checkEndedAt = context.now;
    contact.failedSince = isReached ? null : contact.failedSince;
  }
  path.provenAt = isReached ? context.now : path.provenAt;
  if (!check.isOfServerOnly) {
    path.checksInProgress -= 1;
    path.inconclusiveChecks += isDoubtful ? 1 : 0;
    path.busyChecks += isDoubtful && isBusy(event) ? 1 : 0;
    path.outcomes.push(`${check.server} ${event.failure ?? 'reached'}${isDoubtful ? ' (inconclusive)' : ''}`);
    applyCheck(context, check, path, isReached);
  }
}

function applyCheck(context: RouterContext, check: PathCheck, path: ServicePath, isReached: boolean): void {
  if (path.status === 'lost') {
    path.successfulChecks = isReached ? path.successfulChecks + 1 : 0;
    path.nextCheckAt = isReached ? context.now : path.nextCheckAt;
    if (path.successfulChecks >= CHECKS_TO_RESTORE) {
      restorePath(context, check.service, path);
    }
  } else if (path.status === 'checking' && isReached) {
    path.status = 'open';
    path.doubtfulSince = null;
    path.nextCheckAt = context.now + path.checkInterval;
    path.checkInterval = Math.min(MAX_CHECK_INTERVAL, path.checkInterval * 2);
    path.failedConnections.clear();
  } else if (path.status === 'checking' && path.checksInProgress === 0) {
    endFailedRound(context, check.service, path);
  }
}

/**
 * Ends a round of checks of which none succeeded. An inconclusive round is repeated, unless a server has responded since it began. Where
 * only the number of unanswered calls makes it inconclusive, it counts: over a link that is full of calls, responses to earlier ones arrive.
 */
function endFailedRound(context: RouterContext, service: ServiceName, path: ServicePath): void {
  if (path.isTentative) {
    sendChecks(context, service, path, CHECKS_PER_ROUND);
    return;
  }
  if (path.inconclusiveChecks === 0) {
    declareLost(context, service, path);
    return;
  }
  path.doubtfulSince ??= path.roundStartedAt;
  const isRepeated = path.busyChecks > 0 && context.now - path.doubtfulSince < MAX_DOUBT;
  if (path.heardAt > path.roundStartedAt) {
    path.status = 'open';
    path.doubtfulSince = null;
  } else if (isRepeated) {
    sendChecks(context, service, path, CHECKS_PER_ROUND);
  } else {
    declareLost(context, service, path);
  }
}

function declareLost(context: RouterContext, service: ServiceName, path: ServicePath): void {
  losePath(context, service, path);
  // What broke this path may have broken others, which may be used less.
  context.state.serversByService.forEach((_, other) => requestPathCheck(context, other));
}
