/**
 * State of a router's requests in progress, and the router's own load on each server.
 */
import type { GroupConfiguration, RouteConfiguration } from '../configuration/routing-configuration.js';
import type { Epoch, Milliseconds, ServerId, UnitNumber } from '../identifiers.js';

export type RequestPhase = 'held' | 'queued' | 'running' | 'answering';

/** A request, from its arrival to its final response. */
export interface ActiveRequest {
  readonly id: number;
  readonly route: RouteConfiguration;
  readonly group: GroupConfiguration;
  /** Key of the request, or null for a balanced group. */
  readonly key: string | null;
  readonly replayable: boolean;
  /** Number of daemons that the request passed before this one. */
  readonly hops: number;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  phase: RequestPhase;
  attempt: number;
  server: ServerId | null;
  unit: UnitNumber | null;
  /** Epoch of the unit in the fencing token of the current attempt. */
  epoch: Epoch | null;
  /** Time of the next retry of a held request; after `holdUntil` the request is no longer retried. */
  retryAt: Milliseconds;
  holdUntil: Milliseconds;
  /** An attempt was lost after bytes had been sent, so the outcome can no longer be `not-run`. */
  mayHaveRun: boolean;
  /** Reason why the last attempt failed or could not start. */
  lastReason: string;
}

/** This router's own load on one server. */
export interface ServerLoad {
  inFlight: number;
  readonly queue: ActiveRequest[];
  /** Time until which a balanced server that failed or refused a request receives no requests. */
  avoidUntil: Milliseconds;
}

export interface RequestState {
  readonly active: Map<number, ActiveRequest>;
  readonly held: Set<ActiveRequest>;
  readonly servers: Map<ServerId, ServerLoad>;
  /**
   * Remaining retries of requests that a server may have run; each new request adds a fraction of a retry.
   */
  retryBudget: number;
  nextDeadlineCheckAt: Milliseconds;
}

/** Initial and maximum value of a router's retry budget. */
export const RETRY_BUDGET_LIMIT = 50;

/** Creates a state without requests. */
export function createRequestState(): RequestState {
  return {
    active: new Map(),
    held: new Set(),
    servers: new Map(),
    retryBudget: RETRY_BUDGET_LIMIT,
    nextDeadlineCheckAt: 0,
  };
}

/** Returns the load entry of a server, creating it when missing. */
export function serverLoadOf(state: RequestState, server: ServerId): ServerLoad {
  let load = state.servers.get(server);
  if (load === undefined) {
    load = { inFlight: 0, queue: [], avoidUntil: 0 };
    state.servers.set(server, load);
  }
  return load;
}
