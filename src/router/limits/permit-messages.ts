/** Permit requests to the leader, which keeps the token buckets of rate-limited servers, and its answers. */
import type { DaemonName, Milliseconds, ServerId } from '../model/identifiers.js';

/** Requests a permit to send one request to a rate-limited server. */
export interface PermitAsk {
  readonly kind: 'permitAsk';
  readonly server: ServerId;
  readonly daemon: DaemonName;
  /** Id of the request, unique within `daemon`. */
  readonly requestId: number;
  /** Priority of the request's route; 0 is the most urgent. */
  readonly priority: number;
  /** Time for which the request can wait for the permit. */
  readonly wait: Milliseconds;
  /** Links on which relays and the leader received the request, in order; the answer returns along them. */
  readonly path: readonly number[];
}

/** Grants a permit, or denies it because none will be available in time. */
export interface PermitAnswer {
  readonly kind: 'permitAnswer';
  readonly server: ServerId;
  readonly requestId: number;
  readonly priority: number;
  readonly granted: boolean;
  /** Time until a permit may be available for another request. */
  readonly nextPlaceIn: Milliseconds;
  /** Links that the answer has yet to travel; the last element is the next one. */
  readonly path: readonly number[];
}
