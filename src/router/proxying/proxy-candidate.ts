/**
 * Descriptions of daemons as proxies: a daemon that has lost its path to servers sends its callers' requests to a daemon that has one. Each
 * daemon describes itself in its reports; descriptions go down the tree only to daemons that need them.
 */
import type { Address } from '../model/address.js';
import type { DaemonName, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RouterState } from '../router-state.js';
import { lostServices as findLostServices } from '../reachability/path-checks.js';

/** Servers out of reach that a description names at most. */
const MAX_NAMED_SERVERS = 32;
/** A service counts as reached if a server of it has responded within this time. */
const MAX_REACHED_AGE: Milliseconds = 1_500;

/** A service from which a daemon has had a response. */
export interface ReachedService {
  readonly service: ServiceName;
  /** Time since the last response of one of its servers. */
  readonly age: Milliseconds;
}

/** A daemon as a proxy, in a message. */
export interface ProxyDescription {
  readonly daemon: DaemonName;
  readonly zone: string;
  /** Where it takes requests of other daemons; empty: it takes none. */
  readonly address: Address | '';
  /** Number of requests in progress. */
  readonly requests: number;
  readonly reached: ReachedService[];
  /** Services none of whose servers it can reach. */
  readonly lostServices: ServiceName[];
  /** Servers that it can't reach while it reaches others of their service. */
  readonly lostServers: ServerId[];
}

/** A daemon as a proxy, with the times of its description by this daemon's clock. */
export interface ProxyCandidate extends Omit<ProxyDescription, 'reached'> {
  readonly describedAt: Milliseconds;
  /** When a server of a service last responded to it. */
  readonly reachedAt: ReadonlyMap<ServiceName, Milliseconds>;
}

/** A candidate that takes requests of other daemons. */
export type UsableProxy = ProxyCandidate & { readonly address: Address };

/** Returns whether a daemon takes requests of other daemons. */
export function isUsableProxy(candidate: ProxyCandidate): candidate is UsableProxy {
  return candidate.address !== '';
}

/** Describes this daemon. */
export function describeOwnReach(state: RouterState, now: Milliseconds): ProxyDescription {
  const { identity, reachability, requests, stopping } = state;
  const reached: ReachedService[] = [];
  for (const [service, { status, heardAt }] of reachability.paths) {
    if (status === 'open' && now - heardAt <= MAX_REACHED_AGE) {
      reached.push({ service, age: now - heardAt });
    }
  }
  return {
    daemon: identity.daemon,
    zone: identity.zone,
    address: stopping ? '' : (identity.proxyAddress ?? ''),
    requests: requests.size,
    reached,
    lostServices: findLostServices(state),
    lostServers: lostServers(state),
  };
}

/** Returns servers out of reach whose service this daemon reaches. */
function lostServers({ servers, reachability }: RouterState): ServerId[] {
  const lost: ServerId[] = [];
  for (const id of reachability.failingServers) {
    const known = servers.get(id);
    const isPathLost = known !== undefined && reachability.paths.get(known.server.service)?.status === 'lost';
    if (known?.contact.isOutOfReach === true && !isPathLost) {
      lost.push(id);
    }
  }
  return lost.slice(0, MAX_NAMED_SERVERS);
}

/** Returns whether this daemon may have to send requests by way of others. */
export function isProxyNeeded(state: RouterState): boolean {
  for (const { status } of state.reachability.paths.values()) {
    if (status !== 'open') {
      return true;
    }
  }
  return lostServers(state).length > 0;
}

/** Returns a candidate from its description, which was received at `now`. */
export function toCandidate(description: ProxyDescription, now: Milliseconds): ProxyCandidate {
  const { reached, ...rest } = description;
  const reachedAt = new Map(reached.map(({ service, age }) => [service, now - age]));
  return { ...rest, describedAt: now, reachedAt };
}

/** Returns the description of a candidate to pass on. */
export function toDescription(candidate: ProxyCandidate, now: Milliseconds): ProxyDescription {
  const { daemon, zone, address, requests, lostServices, lostServers } = candidate;
  const reached = [...candidate.reachedAt].map(([service, at]) => ({ service, age: now - at }));
  return { daemon, zone, address, requests, reached, lostServices, lostServers };
}
