/** Overview of rate limits for operators: the servers that have one, since when, and the rate that each daemon gets. */
import type { DaemonName, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { RouterState } from '../router-state.js';
import { limitShareOf } from './permit-exchange.js';

/** Rate at which the leader has recently granted permits to a daemon. */
export interface DaemonPermitRate {
  readonly daemon: DaemonName;
  readonly permitsPerSecond: RequestsPerSecond;
}

/** A server with a rate limit, as this daemon knows it. */
export interface LimitOverview {
  readonly server: ServerId;
  readonly service: ServiceName | null;
  readonly limit: RequestsPerSecond;
  /** Time since this daemon learned that the server has a limit. */
  readonly age: Milliseconds;
  /** Time since a response last confirmed the limit. */
  readonly confirmedAge: Milliseconds;
  /** How this daemon gets its part of the limit: by permits from the leader, or as an equal share. */
  readonly places: 'granted by the leader' | 'equal share';
  /** Permit rates of the daemons in the last 5 to 10 s, or null if this daemon isn't the leader, which alone knows them. */
  readonly shares: readonly DaemonPermitRate[] | null;
}

/** Describes every limit in force. */
export function describeLimitOverview(state: RouterState, now: Milliseconds): LimitOverview[] {
  return [...state.limits.inForce].map(([server, { rate, since, at }]) => ({
    server,
    service: state.servers.get(server)?.server.service ?? null,
    limit: rate ?? 0,
    age: Math.round(now - since),
    confirmedAge: Math.round(now - at),
    places: limitShareOf(state, server)?.isLeaderGranting === true ? 'granted by the leader' : 'equal share',
    shares: permitRatesOf(state, server, now),
  }));
}

function permitRatesOf(
  { leadership }: RouterState,
  server: ServerId,
  now: Milliseconds,
): readonly DaemonPermitRate[] | null {
  if (leadership === null) {
    return null;
  }
  const grantRates = [...leadership.permitBuckets.grantRates(server, now)];
  return grantRates.map(([daemon, permitsPerSecond]) => ({ daemon, permitsPerSecond }));
}
