/** What operators see of limits: all servers with one, since when, and what daemons get of it. */
import type { DaemonName, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { RouterState } from '../router-state.js';
import { limitShareOf } from './permit-exchange.js';

/** What a daemon got lately. */
export interface DaemonShare {
  readonly daemon: DaemonName;
  readonly permitsPerSecond: RequestsPerSecond;
}

/** One server with a limit, as one daemon sees it. */
export interface LimitOverview {
  readonly server: ServerId;
  readonly service: ServiceName | null;
  readonly limit: RequestsPerSecond;
  /** How long ago this daemon first heard of it. */
  readonly age: Milliseconds;
  /** How long ago an answer was last known to name it. */
  readonly confirmedAge: Milliseconds;
  /** How this daemon gets places: by permits of the leader, or as an equal share. */
  readonly places: 'granted by the leader' | 'equal share';
  /** What daemons were given in the last 5 to 10 s; only the leader knows. */
  readonly shares: readonly DaemonShare[] | null;
}

/** Every limit in force. */
export function describeLimitOverview(state: RouterState, now: Milliseconds): LimitOverview[] {
  return [...state.limits.inForce].map(([server, { rate, since, at }]) => ({
    server,
    service: state.servers.get(server)?.server.service ?? null,
    limit: rate ?? 0,
    age: Math.round(now - since),
    confirmedAge: Math.round(now - at),
    places: limitShareOf(state, server)?.hasGrants === true ? 'granted by the leader' : 'equal share',
    shares: sharesOf(state, server, now),
  }));
}

function sharesOf(
  { leadership }: RouterState,
  server: ServerId,
  now: Milliseconds,
): readonly DaemonShare[] | null {
  if (leadership === null) {
    return null;
  }
  const rates = [...leadership.permitBuckets.grantRates(server, now)];
  return rates.map(([daemon, permitsPerSecond]) => ({ daemon, permitsPerSecond }));
}
