/** What this daemon knows of proxies, and its requests there. */
import type { Address } from '../model/address.js';
import type { DaemonName, Milliseconds } from '../model/identifiers.js';
import type { ProxyCandidate } from './proxy-candidate.js';

export interface ProxyingState {
  /** The proxies that the parent last named. */
  fromParent: readonly ProxyCandidate[];
  /** Proxies that a parent has named in the last seconds, by name, the latest named last. They are used where no current one is known. */
  readonly recalled: Map<DaemonName, ProxyCandidate>;
  /** When the parent last sent a heartbeat. */
  receivedAt: Milliseconds;
  /** Requests of this daemon in progress at each proxy, by address. */
  readonly requestsAt: Map<Address, number>;
  /** Times until which proxies are not used after a failure, by address. */
  readonly avoidedUntil: Map<Address, Milliseconds>;
  /** When each proxy last answered a request of this daemon, by address. */
  readonly answeredAt: Map<Address, Milliseconds>;
}

/** Returns the state of a daemon that knows no proxy. */
export function createProxyingState(): ProxyingState {
  return {
    fromParent: [],
    recalled: new Map(),
    receivedAt: Number.NEGATIVE_INFINITY,
    requestsAt: new Map(),
    avoidedUntil: new Map(),
    answeredAt: new Map(),
  };
}
