/** A request between its arrival and its final answer. */
import type { RequestArrivedEvent } from '../events.js';
import type { Route } from '../model/configuration.js';
import type { RequestFingerprint } from '../model/request-fingerprint.js';
import type { Key, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';

/** A request that came before the first configuration. */
export interface EarlyRequest {
  readonly event: RequestArrivedEvent;
  readonly readAt: Milliseconds;
}

/** Kept in the state while the request is under way. */
export interface ActiveRequest {
  readonly id: number;
  readonly attemptId: string;
  readonly fingerprint: RequestFingerprint;
  readonly route: Route;
  readonly service: ServiceName;
  /** Null when any server of the service can run it. */
  readonly key: Key | null;
  /** The earliest moment at which it may have come: it may have waited unread since. */
  readonly arrivedAt: Milliseconds;
  /** It may have waited unread for this long before. */
  readonly readDelay: Milliseconds;
  /** The final answer is due: the caller's patience or the route's timeout, whichever ends first. */
  readonly deadlineAt: Milliseconds;
  /** It is refused rather than held beyond this time without being sent. */
  readonly holdUntil: Milliseconds;
  /** Attempts that reached, or may have reached, a server. */
  attempts: number;
  /** Numbers the attempts for the runtime, those that never left included. */
  attemptNumber: number;
  /** The server of the attempt under way, or null while the request is held. */
  server: ServerId | null;
  attemptStartedAt: Milliseconds;
  /** The server seemed to have a free slot when the attempt was sent. */
  sentToFreeSlot: boolean;
  /** The attempt under way took a place of those that its server's limit leaves. */
  tookPlace: boolean;
  /** A held request is tried again at this time. */
  retryAt: Milliseconds;
  readonly tried: ServerId[];
  /** Attempts whose connection ended before an answer. */
  lostAttempts: number;
  /** Of these, those after which a server may have ended: one that sheds a request does so at once. */
  possibleCrashes: number;
  /** Some attempt may have run. */
  mayHaveRun: boolean;
  /** What each attempt came to, for the log. */
  readonly notes: string[];
}
