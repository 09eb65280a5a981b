/**
 * Hands the leadership over when the leader can't reach owners of keys that another daemon reaches: their leases would expire, although the
 * servers are well.
 */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { ProxyCandidate } from '../proxying/proxy-candidate.js';
import { knownDaemons } from '../proxying/proxy-directory.js';
import { CHECK_TIMEOUT } from '../reachability/check-conditions.js';
import { requestPathCheck } from '../reachability/path-checks.js';
import { pathTo } from '../reachability/reachability-state.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { resign } from './leader-confirmation.js';
import type { Leadership } from './leadership-state.js';
import { answersOthers } from './silent-servers.js';

/** Shortest leadership that is given up for single servers, so that daemons that miss different servers don't hand over in turn. */
const MIN_LEADERSHIP: Milliseconds = 5_000;
/** A daemon that has lost a path claims the leadership only if no other one has for this long. */
const LOST_PATH_CLAIM_DELAY: Milliseconds = 2_000;
/** The same after a resignation, for one that misses single servers. */
const MISSING_SERVER_CLAIM_DELAY: Milliseconds = 150;
/** The same for one whose path is unproven: a check that began when the leader fell silent has ended after this long. */
const UNPROVEN_PATH_CLAIM_DELAY: Milliseconds = CHECK_TIMEOUT + 100;
/** A response to another daemon that came this long before the path was declared lost may have come before it failed. */
const PROOF_MARGIN: Milliseconds = 250;
/** A path is proven by a response or a connection within this time. */
const PROOF_VALIDITY: Milliseconds = 300;

function keyedServices({ configuration }: RouterState): ServiceName[] {
  const services = [...(configuration?.services.values() ?? [])];
  return services.filter(({ keyed }) => keyed).map(({ name }) => name);
}

/** Returns when this daemon lost the first of the paths to keyed services; null: it has lost none. */
function lostKeyedPath({ state }: RouterContext): { service: ServiceName; since: Milliseconds } | null {
  for (const service of keyedServices(state)) {
    const { status, lostAt } = pathTo(state.reachability, service);
    if (status === 'lost') {
      return { service, since: lostAt - PROOF_MARGIN };
    }
  }
  return null;
}

/** Returns whether another daemon reaches all keyed services, and has had a response of one since a time. */
function isReachedElsewhere(context: RouterContext, service: ServiceName, since: Milliseconds): boolean {
  const isBetter = ({ lostServices, lostServers, reachedAt }: ProxyCandidate): boolean =>
    lostServices.length === 0 &&
    lostServers.length === 0 &&
    (reachedAt.get(service) ?? Number.NEGATIVE_INFINITY) > since;
  return knownDaemons(context).some(isBetter);
}

/** Returns an owner of keys that answers other daemons and is out of this daemon's reach. */
function findMissingOwner(
  { state }: RouterContext,
  leadership: Leadership,
): { service: ServiceName; since: Milliseconds } | null {
  for (const { owner, service } of leadership.table.units) {
    const lease = leadership.leases.get(owner);
    const isOutOfReach = state.servers.get(owner)?.contact.isOutOfReach === true;
    if (isOutOfReach && lease !== undefined && answersOthers(leadership, owner, lease.silentSince)) {
      return { service, since: lease.silentSince };
    }
  }
  return null;
}

/** Resigns if another daemon reaches what this leader does not. */
export function tickPathHandover(context: RouterContext, leadership: Leadership): void {
  const lost = lostKeyedPath(context);
  const isSettled = context.now - leadership.startedAt >= MIN_LEADERSHIP;
  const missing = lost ?? (isSettled ? findMissingOwner(context, leadership) : null);
  if (missing !== null && isReachedElsewhere(context, missing.service, missing.since)) {
    resign(context, leadership, `no path to servers of ${missing.service}`);
  }
}

/** Returns whether a server of a service has responded or accepted a connection lately, or none is known. */
function isPathProven({ state, now }: RouterContext, service: ServiceName): boolean {
  const isServed = (state.serversByService.get(service)?.size ?? 0) > 0;
  return !isServed || now - pathTo(state.reachability, service).provenAt <= PROOF_VALIDITY;
}

/** Begins to check the unproven paths to keyed services. A daemon that has few requests does not know whether it has a path. */
export function proveKeyedPaths(context: RouterContext): void {
  for (const service of keyedServices(context.state)) {
    if (!isPathProven(context, service)) {
      requestPathCheck(context, service);
    }
  }
}

/**
 * Returns how long this daemon leaves a free leadership to daemons that reach more servers.
 *
 * @param hasResigned whether the former leader resigned, which it may have done for its path, rather than being lost
 */
export function pathClaimDelay(context: RouterContext, hasResigned: boolean): Milliseconds {
  const { state } = context;
  const services = keyedServices(state);
  if (services.some((service) => pathTo(state.reachability, service).status === 'lost')) {
    return LOST_PATH_CLAIM_DELAY;
  }
  if (!services.every((service) => isPathProven(context, service))) {
    return UNPROVEN_PATH_CLAIM_DELAY;
  }
  const missesServers = [...state.servers.values()].some(({ contact }) => contact.isOutOfReach);
  return hasResigned && missesServers ? MISSING_SERVER_CLAIM_DELAY : 0;
}
