/**
 * The requests that a router has under way, and what it sees of each server's load.
 */
import type { GroupConfiguration, RouteConfiguration } from '../configuration/routing-configuration.js';
import type { Epoch, Milliseconds, ServerId, UnitNumber } from '../identifiers.js';

export type RequestPhase = 'held' | 'queued' | 'running' | 'answering';

/** One request from its arrival to its final answer. */
export interface ActiveRequest {
  readonly id: number;
  readonly route: RouteConfiguration;
  readonly group: GroupConfiguration;
  /** Null for a balanced group. */
  readonly key: string | null;
  readonly replayable: boolean;
  /** Daemons the request passed before this one. */
  readonly hops: number;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  phase: RequestPhase;
  attempt: number;
  server: ServerId | null;
  unit: UnitNumber | null;
  /** Epoch of the unit in the present attempt's fencing token. */
  epoch: Epoch | null;
  /** When a held request is tried again, and when it is given up. */
  retryAt: Milliseconds;
  holdUntil: Milliseconds;
  /** An attempt was lost after bytes had left: `not-run` can no longer be said. */
  mayHaveRun: boolean;
  /** Why the last try did not run. */
  lastReason: string;
}

/** What this router sees of one server. */
export interface ServerLoad {
  inFlight: number;
  readonly queue: ActiveRequest[];
  /** A balanced server that failed or refused is left out until then. */
  avoidUntil: Milliseconds;
}

export interface RequestState {
  readonly active: Map<number, ActiveRequest>;
  readonly held: Set<ActiveRequest>;
  readonly servers: Map<ServerId, ServerLoad>;
  /** Retries of requests that a server may have run; refilled by a share of the requests. */
  retryBudget: number;
  nextDeadlineCheckAt: Milliseconds;
}

/** The budget a router starts with, and its upper bound. */
export const RETRY_BUDGET_LIMIT = 50;

/** No requests. */
export function createRequestState(): RequestState {
  return {
    active: new Map(),
    held: new Set(),
    servers: new Map(),
    retryBudget: RETRY_BUDGET_LIMIT,
    nextDeadlineCheckAt: 0,
  };
}

/** What this router sees of a server. */
export function loadOf(state: RequestState, server: ServerId): ServerLoad {
  let load = state.servers.get(server);
  if (load === undefined) {
    load = { inFlight: 0, queue: [], avoidUntil: 0 };
    state.servers.set(server, load);
  }
  return load;
}
