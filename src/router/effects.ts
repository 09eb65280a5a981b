/** The effects of a daemon: the reducer returns them as data, and the runtime performs them. */
import type { StoredObjectName } from './events.js';
import type { LogEventName } from './log-events.js';
import type { Address } from './model/address.js';
import type { FeedName, Fence, Key, Milliseconds, ServerId } from './model/identifiers.js';
import type { RequestOrigin } from './proxying/request-origin.js';
import type { PeerMessage } from './peers/messages.js';
import type { ExecutionStatement } from './request/request-execution.js';

export interface ReadObjectEffect {
  readonly kind: 'readObject';
  readonly object: StoredObjectName;
}
export interface WriteObjectEffect {
  readonly kind: 'writeObject';
  readonly object: StoredObjectName;
  readonly value: unknown;
  /** The revision to replace; null creates the object. */
  readonly revision: number | null;
}
/** Lists a feed again, since the known state may be stale. */
export interface RefreshFeedEffect {
  readonly kind: 'refreshFeed';
  readonly feed: FeedName;
}
/** Asks the store at once whether a feed has changed since a revision. */
export interface ConfirmFeedEffect {
  readonly kind: 'confirmFeed';
  readonly feed: FeedName;
  /** Changes up to this store revision are known already; null: lists the feed. */
  readonly revision: number | null;
}
/** Sends a grant or a release to a server, or a probe that checks whether the same incarnation still answers. */
export interface ControlEffect {
  readonly kind: 'control';
  readonly callId: number;
  readonly action: 'grant' | 'release' | 'probe';
  readonly server: ServerId;
  readonly address: Address;
  readonly from: Key;
  readonly to: Key;
  readonly fence: Fence;
  /** Lease duration: how long the server holds the keys, counted from the arrival of the grant. */
  readonly hold: Milliseconds;
  /** Token from the former owner's release, passed on with the grant; null: none. */
  readonly handover: string | null;
  /** How long to wait for the response. */
  readonly timeout: Milliseconds;
  /** Path that a probe requests. */
  readonly healthPath: string;
}
/** Opens a connection to a server and closes it again without sending anything, to check whether there is a path. */
export interface CheckPathEffect {
  readonly kind: 'checkPath';
  readonly checkId: number;
  readonly address: Address;
  /** How long to wait for the connection. */
  readonly timeout: Milliseconds;
}
/** Sends an attempt of a request to a server. */
export interface ForwardEffect {
  readonly kind: 'forward';
  readonly requestId: number;
  readonly attempt: number;
  readonly server: ServerId;
  readonly address: Address;
  /** Time until the request's deadline, sent along to the server. */
  readonly timeLeft: Milliseconds;
  /** Whether the response is sent to the caller only once it is complete, as far as it can be buffered. */
  readonly buffer: boolean;
  /** Whether the server has a known rate limit: a response without one then means that the limit has ended. */
  readonly isLimited: boolean;
  /** Whether the request may run more than once. Otherwise its caller takes some statuses for the promise that it has not run. */
  readonly repeatable: boolean;
}
/** Sends a request to another daemon, which sends it to a server. */
export interface ForwardToProxyEffect {
  readonly kind: 'forwardToProxy';
  readonly requestId: number;
  readonly attempt: number;
  /** Where the proxy takes requests of other daemons. */
  readonly address: Address;
  /** Time until the request's deadline. */
  readonly timeLeft: Milliseconds;
  readonly origin: RequestOrigin;
}
/** Cancels an attempt and closes its connection. */
export interface CancelEffect {
  readonly kind: 'cancel';
  readonly requestId: number;
  readonly attempt: number;
}
/** Cancels an attempt unless it has been sent already: its connection may not be established yet. */
export interface WithdrawEffect {
  readonly kind: 'withdraw';
  readonly requestId: number;
  readonly attempt: number;
}
/** Closes idle connections to an address: the server there is gone, and its successor does not know the connections. */
export interface CloseIdleConnectionsEffect {
  readonly kind: 'forgetConnections';
  readonly address: Address;
}
/** Sends the caller a final response of the daemon's own. */
export interface AnswerEffect {
  readonly kind: 'answer';
  readonly requestId: number;
  readonly status: number;
  readonly reason: string;
  /** Delay after which the caller should retry; null: not stated. */
  readonly retryAfter: Milliseconds | null;
  readonly execution: ExecutionStatement;
  /** Number of attempts that reached, or may have reached, a server. */
  readonly attempts: number;
  /** Whether this daemon has lost its path to the servers, so that another one may still reach them. */
  readonly isPathLost: boolean;
}
/** Starts or stops listing and watching the configuration and the servers in the store. */
export interface FollowStoreEffect {
  readonly kind: 'followStore';
  readonly follows: boolean;
  /** Changes up to these store revisions are known already; null: nothing is known. */
  readonly serversRevision: number | null;
  readonly configurationRevision: number | null;
}
/** Starts or stops listing and watching the zone evacuations in the store. */
export interface FollowEvacuationsEffect {
  readonly kind: 'followEvacuations';
  readonly follows: boolean;
  /** Changes up to this store revision are known already; null: nothing is known. */
  readonly revision: number | null;
}
/** Connects to a parent in the propagation tree and closes the connection to any other address. */
export interface ConnectToParentEffect {
  readonly kind: 'follow';
  /** Null: connects to no parent. */
  readonly address: Address | null;
}
export interface SendToParentEffect {
  readonly kind: 'sendToParent';
  readonly message: PeerMessage;
}
/** Sends a message to the children in the propagation tree. */
export interface SendToChildrenEffect {
  readonly kind: 'sendToChildren';
  /** Connection number of a single child; null: all children. */
  readonly link: number | null;
  readonly message: PeerMessage;
}
/** Records in the latency histograms that a request got its final response or that its caller disconnected. */
export interface RequestEndedEffect {
  readonly kind: 'requestEnded';
  readonly outcome: RequestOutcome;
  readonly duration: Milliseconds;
}
export type RequestOutcome = 'answered' | 'refused' | 'failed' | 'broken_off' | 'caller_left';
/** Writes a log line: an event of the catalogue with its fields. */
export interface LogEffect {
  readonly kind: 'log';
  readonly level: 'info' | 'warn';
  readonly event: LogEventName;
  readonly fields: Record<string, unknown>;
}

export type Effect =
  | ReadObjectEffect
  | WriteObjectEffect
  | RefreshFeedEffect
  | ConfirmFeedEffect
  | ControlEffect
  | CheckPathEffect
  | ForwardEffect
  | ForwardToProxyEffect
  | CancelEffect
  | WithdrawEffect
  | CloseIdleConnectionsEffect
  | AnswerEffect
  | ConnectToParentEffect
  | FollowStoreEffect
  | FollowEvacuationsEffect
  | SendToParentEffect
  | SendToChildrenEffect
  | RequestEndedEffect
  | LogEffect;
