/** Decides whether a request goes to a server by way of another daemon, and by which one. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { requestServerCheck } from '../reachability/path-checks.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from '../request/active-request.js';
import { createRefusal, type RoutingRefusal } from '../request/refusals.js';
import { isUsableProxy, type UsableProxy } from './proxy-candidate.js';
import { knownDaemons, recalledProxies } from './proxy-directory.js';

/** A proxy that has had a response of the service, or has answered this daemon, within this time is preferred. */
const MAX_PROOF_AGE: Milliseconds = 2_000;
/** Requests in progress that a proxy of this zone may have more than one of another zone, since traffic between zones is expensive. */
const OTHER_ZONE_COST = 8;
/** Requests in progress that another proxy may have more than the leader, which has all leases to renew. */
const LEADER_COST = 16;
/** The parent names proxies within this time. */
const PROXY_LIST_TIMEOUT: Milliseconds = 300;
/** Time after which a caller should retry when no daemon reaches the servers. */
const NO_PATH_RETRY_AFTER: Milliseconds = 300;

/**
 * Returns the proxy that a request goes to now, or a refusal if it needs one and there is none; null: it goes to a server directly. A request
 * that another daemon has sent here is never sent to a third one.
 */
export function findProxy(
  context: RouterContext,
  request: ActiveRequest,
): UsableProxy | RoutingRefusal | null {
  const { state } = context;
  const { service, origin } = request;
  const path = state.reachability.paths.get(service);
  if (path?.status === 'lost') {
    return origin === null
      ? (chooseProxy(context, request, null) ?? refuseWithoutProxy(context, request, path.lostAt))
      : { ...createRefusal(`no path to the servers of ${service}`, false), isPathLost: true };
  }
  if (origin !== null) {
    return null;
  }
  if (path?.status === 'checking' && !request.route.repeatable) {
    // Written to a server that is out of reach, it may have run for all that anybody knows.
    return (
      chooseProxy(context, request, null) ?? createRefusal('the path to the servers is being checked', true)
    );
  }
  const owner = ownerOutOfReach(context, request);
  return owner === null || request.triedProxies.length > 0 ? null : chooseProxy(context, request, owner);
}

function refuseWithoutProxy(
  { now }: RouterContext,
  { service }: ActiveRequest,
  lostAt: Milliseconds,
): RoutingRefusal {
  const reason = `no daemon reaches the servers of ${service}`;
  return createRefusal(reason, now - lostAt < PROXY_LIST_TIMEOUT, NO_PATH_RETRY_AFTER);
}

/** Returns the owner of a request's key if this daemon reaches other servers of its service, but not the owner. */
function ownerOutOfReach(context: RouterContext, { service, key }: ActiveRequest): ServerId | null {
  const { ownershipView, servers } = context.state;
  const owner = key === null ? undefined : ownershipView.unitOf(service, key)?.owner;
  const known = owner === undefined ? undefined : servers.get(owner);
  if (known?.contact.isOutOfReach !== true) {
    return null;
  }
  requestServerCheck(context, known);
  return known.server.id;
}

/**
 * Returns the proxy for a request, or null.
 *
 * @param owner the server that the request must go to; null: the proxy finds one
 */
function chooseProxy(
  context: RouterContext,
  request: ActiveRequest,
  owner: ServerId | null,
): UsableProxy | null {
  const { now, state } = context;
  const { service, triedProxies } = request;
  const isUsable = ({ daemon, address, lostServices, lostServers }: UsableProxy): boolean =>
    now >= (state.proxying.avoidedUntil.get(address) ?? 0) &&
    !triedProxies.includes(daemon) &&
    !lostServices.includes(service) &&
    !(owner !== null && lostServers.includes(owner));
  const current = knownDaemons(context).filter(isUsableProxy).filter(isUsable);
  const usable =
    current.length > 0 ? current : recalledProxies(context).filter(isUsableProxy).filter(isUsable);
  const isProven = ({ address, reachedAt }: UsableProxy): boolean => {
    const answeredAt = state.proxying.answeredAt.get(address) ?? Number.NEGATIVE_INFINITY;
    return now - Math.max(answeredAt, reachedAt.get(service) ?? Number.NEGATIVE_INFINITY) <= MAX_PROOF_AGE;
  };
  const proven = usable.filter(isProven);
  return leastLoaded(context, proven.length > 0 ? proven : usable);
}

function leastLoaded(context: RouterContext, candidates: readonly UsableProxy[]): UsableProxy | null {
  const { identity, proxying, random, election } = context.state;
  let best: UsableProxy | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const zoneCost = candidate.zone === identity.zone ? 0 : OTHER_ZONE_COST;
    const own = proxying.requestsAt.get(candidate.address) ?? 0;
    const leaderCost = candidate.daemon === election.leader?.daemon ? LEADER_COST : 0;
    const cost = candidate.requests + own + zoneCost + leaderCost + random.fraction();
    if (cost < lowestCost) {
      best = candidate;
      lowestCost = cost;
    }
  }
  return best;
}
