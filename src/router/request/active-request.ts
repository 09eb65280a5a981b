/** A request between its arrival and its final answer. */
import type { RequestArrivedEvent } from '../events.js';
import type { Address } from '../model/address.js';
import type { Route } from '../model/configuration.js';
import type { RequestFingerprint } from '../model/request-fingerprint.js';
import type { RequestOrigin } from '../proxying/request-origin.js';
import type { RequestExecution } from './request-execution.js';
import type { DaemonName, Key, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';

/** A request that arrived while no configuration could be used. */
export interface EarlyRequest {
  readonly event: RequestArrivedEvent;
  readonly readAt: Milliseconds;
}

/** The daemon that a request was sent to as a proxy. */
export interface RequestProxy {
  readonly daemon: DaemonName;
  /** Where it takes requests of other daemons. */
  readonly address: Address;
}

/** Kept in the router state until the request has its final answer. */
export interface ActiveRequest {
  readonly id: number;
  readonly attemptId: string;
  readonly fingerprint: RequestFingerprint;
  readonly route: Route;
  readonly service: ServiceName;
  /** Null when any server of the service can run the request. */
  readonly key: Key | null;
  /** Earliest time at which the request may have arrived; it may have waited unread in the socket since then. */
  readonly arrivedAt: Milliseconds;
  /** Longest time that the request may have waited unread in the socket before it was read. */
  readonly readDelay: Milliseconds;
  /** Time at which the final answer is due: the caller's deadline or the route's timeout, whichever is earlier. */
  readonly deadlineAt: Milliseconds;
  /** Its arrival, or the later time for which its caller was told to return: its turn among held requests. */
  readonly turnAt: Milliseconds;
  /** Time after which the request is refused instead of held when it has not been sent. */
  readonly holdUntil: Milliseconds;
  /** Number of attempts that reached, or may have reached, a server. */
  attempts: number;
  /** Number of the latest attempt, as the runtime identifies it; also counts attempts that were never sent. */
  attemptNumber: number;
  /** The daemon that sent the request here for its caller; null: the caller itself did. */
  readonly origin: RequestOrigin | null;
  /** Attempts that the origin has paid for from its retry budget. */
  readonly prepaidAttempts: number;
  /** Server of the attempt in flight, or null while the request is held or at a proxy. */
  server: ServerId | null;
  /** Proxy that the request is at; null: none. */
  proxy: RequestProxy | null;
  /** Daemons that the request has been sent to as proxies, in this order. */
  readonly triedProxies: DaemonName[];
  attemptStartedAt: Milliseconds;
  /** Age of the store's data by which the server of the latest attempt was chosen; null: none was chosen here. */
  dataAge: Milliseconds | null;
  /** Whether the server was estimated to have a free slot when the attempt was sent. */
  sentToFreeSlot: boolean;
  /** Whether the attempt in flight used a permit of its server's rate limit. */
  usedPermit: boolean;
  /** Time at which a held request is dispatched again; infinite: with the other requests that wait for room. */
  retryAt: Milliseconds;
  /** Servers that the request has been sent to; empty for a request with a key, which can go to the owner only. */
  readonly triedServers: ServerId[];
  /** Number of rejections by servers that reported free slots; counted for requests without a key. */
  rejectionsWithFreeSlots: number;
  /** Number of attempts that were lost: the server may have run the request, and no whole answer came. */
  lostAttempts: number;
  /**
   * Number of lost attempts that the server may have crashed under. A connection that is reset at once is not counted: a server that sheds
   * a request does so immediately.
   */
  possibleCrashes: number;
  /** What is known of each attempt. */
  readonly execution: RequestExecution;
  /** Outcome of each attempt, for the log. */
  readonly attemptOutcomes: string[];
}

/** Returns whether a request waits at this daemon for a server or a proxy. */
export function isHeld({ server, proxy }: ActiveRequest): boolean {
  return server === null && proxy === null;
}
