/** Requests for permits to the daemon that keeps the token buckets of limited servers, and its answers. */
import type { DaemonName, Milliseconds, ServerId } from '../model/identifiers.js';

/** A daemon wants to send one request to a server with a limit. */
export interface PermitAsk {
  readonly kind: 'permitAsk';
  readonly server: ServerId;
  readonly daemon: DaemonName;
  /** Of the asking daemon. */
  readonly requestId: number;
  /** Of the request's route; 0 is the most urgent. */
  readonly priority: number;
  /** How long the request can wait for the permit. */
  readonly wait: Milliseconds;
  /** Links on which relays received it, the first one first: the answer goes back along them. */
  readonly path: readonly number[];
}

/** A permit, or that there will be none in time. */
export interface PermitAnswer {
  readonly kind: 'permitAnswer';
  readonly server: ServerId;
  readonly requestId: number;
  readonly priority: number;
  readonly granted: boolean;
  /** When a place may be free for another request. */
  readonly nextPlaceIn: Milliseconds;
  /** Links that are still to be passed, the last one first. */
  readonly path: readonly number[];
}
