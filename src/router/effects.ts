/** Everything a daemon can do. The reducer returns these as data; the runtime performs them. */
import type { StoredName } from './events.js';
import type { LogEventName } from './log-events.js';
import type { FeedName, Fence, Key, Milliseconds, ServerId } from './model/identifiers.js';
import type { PeerMessage } from './peers/messages.js';

export interface ReadObjectEffect {
  readonly kind: 'readObject';
  readonly object: StoredName;
}
export interface WriteObjectEffect {
  readonly kind: 'writeObject';
  readonly object: StoredName;
  readonly value: unknown;
  /** The revision that is replaced, or null to create the object. */
  readonly revision: number | null;
}
/** Reads a feed anew: what is believed may be old. */
export interface RefreshFeedEffect {
  readonly kind: 'refreshFeed';
  readonly feed: FeedName;
}
/** A grant or a release at a server, or a probe: whether it is still the same one. */
export interface ControlEffect {
  readonly kind: 'control';
  readonly callId: number;
  readonly action: 'grant' | 'release' | 'probe';
  readonly server: ServerId;
  readonly address: string;
  readonly from: Key;
  readonly to: Key;
  readonly fence: Fence;
  /** How long the server holds the keys from the arrival of the grant. */
  readonly hold: Milliseconds;
  readonly handover: string | null;
  readonly patience: Milliseconds;
  /** Path of a probe. */
  readonly healthPath: string;
}
/** Sends a request to a server. */
export interface ForwardEffect {
  readonly kind: 'forward';
  readonly requestId: number;
  readonly attempt: number;
  readonly server: ServerId;
  readonly address: string;
  /** Passed on to the server as what is left of the request's time. */
  readonly timeLeft: Milliseconds;
  /** An answer is passed on only once it is whole, as far as that is possible. */
  readonly buffer: boolean;
  /** The server names a limit, as far as is known: an answer without one says that it ceased to. */
  readonly isLimited: boolean;
}
/** Gives up an attempt; its connection is closed. */
export interface CancelEffect {
  readonly kind: 'cancel';
  readonly requestId: number;
  readonly attempt: number;
}
/** Takes an attempt back unless it has been sent: its connection may not have come up yet. */
export interface WithdrawEffect {
  readonly kind: 'withdraw';
  readonly requestId: number;
  readonly attempt: number;
}
/** Closes the idle connections to an address: the server that was there is gone, and the next one knows nothing of them. */
export interface ForgetConnectionsEffect {
  readonly kind: 'forgetConnections';
  readonly address: string;
}
/** The daemon's own final answer. */
export interface AnswerEffect {
  readonly kind: 'answer';
  readonly requestId: number;
  readonly status: number;
  readonly reason: string;
  /** When the caller should come back, or null. */
  readonly retryAfter: Milliseconds | null;
}
/** Begins or ceases to follow the store. */
export interface FollowStoreEffect {
  readonly kind: 'followStore';
  readonly follows: boolean;
  /** What came up to these revisions of the store is known; null: nothing is. */
  readonly serversRevision: number | null;
  readonly configurationRevision: number | null;
}
/** Begins or ceases to follow the evacuations in the store. */
export interface FollowEvacuationsEffect {
  readonly kind: 'followEvacuations';
  readonly follows: boolean;
  /** What came up to this revision of the store is known; null: nothing is. */
  readonly revision: number | null;
}
/** Connects to a parent; a connection to another address is closed. Null: to none. */
export interface FollowEffect {
  readonly kind: 'follow';
  readonly address: string | null;
}
export interface SendToParentEffect {
  readonly kind: 'sendToParent';
  readonly message: PeerMessage;
}
/** Sends to daemons that are connected to this one: all, or one. */
export interface SendToChildrenEffect {
  readonly kind: 'sendToChildren';
  readonly link: number | null;
  readonly message: PeerMessage;
}
/** A request got its final answer, or its caller left: for the latency histograms. */
export interface RequestEndedEffect {
  readonly kind: 'requestEnded';
  readonly outcome: RequestOutcome;
  readonly duration: Milliseconds;
}
export type RequestOutcome = 'answered' | 'refused' | 'failed' | 'broken_off' | 'caller_left';
/** A line of the log: an event of the catalogue with its fields. */
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
  | ControlEffect
  | ForwardEffect
  | CancelEffect
  | WithdrawEffect
  | ForgetConnectionsEffect
  | AnswerEffect
  | FollowEffect
  | FollowStoreEffect
  | FollowEvacuationsEffect
  | SendToParentEffect
  | SendToChildrenEffect
  | RequestEndedEffect
  | LogEffect;
