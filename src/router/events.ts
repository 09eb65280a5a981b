/** The events of a daemon: the only inputs of the reducer. */
import type { Address } from './model/address.js';
import type { Configuration } from './model/configuration.js';
import type { FeedName, Key, Milliseconds, ServerId } from './model/identifiers.js';
import type { RequestFingerprint } from './model/request-fingerprint.js';
import type { ServerDescription } from './model/server.js';
import type { InstanceName } from './model/server-incarnation.js';
import type { LimitReading } from './model/server-limit.js';
import type { ServerNotice } from './model/server-notice.js';
import type { EvacuationStatement } from './news/zone-evacuations.js';
import type { PeerMessage, ServerChange } from './peers/messages.js';
import type { RequestOrigin } from './proxying/request-origin.js';
import type { ReportedLoad } from './request/server-load.js';
import type { RouterBounds } from './router-bounds.js';

/** Occurs at a regular interval and runs the work that depends on time. */
export interface TickEvent {
  readonly kind: 'tick';
}
/**
 * The machine was suspended, or the time of day was set ahead and no other clock can tell the two apart. Delivered before any
 * event that happens after the suspension.
 */
export interface ResumedEvent {
  readonly kind: 'resumed';
  /** Duration of the suspension. */
  readonly length: Milliseconds;
  /** Whether the daemon's clock advanced during the suspension. */
  readonly isCounted: boolean;
}
/** A configuration was read from the store. The reducer ignores one that is not newer than the current one. */
export interface ConfigurationEvent {
  readonly kind: 'configuration';
  readonly configuration: Configuration;
  /** Store revision at which the configuration was read: later changes are not included. */
  readonly revision: number;
}
/** The complete server list was read from the store. */
export interface ServersListedEvent {
  readonly kind: 'serversListed';
  readonly servers: readonly ServerDescription[];
  readonly revision: number;
}
/** Entries of the server list were added, changed or removed. */
export interface ServersChangedEvent {
  readonly kind: 'serversChanged';
  readonly changes: readonly ServerChange[];
  readonly revision: number;
}
/** The complete list of evacuated zones was read from the store. */
export interface EvacuationsListedEvent extends EvacuationStatement {
  readonly kind: 'evacuationsListed';
}
/** The start or the end of a zone's evacuation. */
export interface EvacuationOrder {
  readonly zone: string;
  readonly evacuated: boolean;
}
export interface EvacuationsChangedEvent {
  readonly kind: 'evacuationsChanged';
  readonly changes: readonly EvacuationOrder[];
  readonly revision: number;
}
/** The store answered a list or watch call of a feed. */
export interface FeedAnsweredEvent {
  readonly kind: 'feedAnswered';
  readonly feed: FeedName;
  /** When the call was sent. */
  readonly sentAt: Milliseconds;
  /** Every change that the store accepted before this time has been reported; null: the response doesn't confirm that. */
  readonly confirmedAt: Milliseconds | null;
  /** Time from the end of the call's wait, or from its start, to the response. */
  readonly responseTime: Milliseconds;
  /** Whether the response came after the call had been reported as failed. */
  readonly isOverdue: boolean;
}
/** A list or watch call of a feed ended without a usable answer of the store. */
export interface FeedFailedEvent {
  readonly kind: 'feedFailed';
  readonly feed: FeedName;
  readonly call: 'list' | 'watch';
  /** Time from the start of the call until it was given up. */
  readonly waited: Milliseconds;
  readonly reason: string;
  /** Whether the store is unavailable to this daemon. Otherwise the daemon itself or the transfer may have been too slow. */
  readonly isConclusive: boolean;
}

/** A read of one of the daemons' own objects in the store ended. */
export interface ObjectReadEvent {
  readonly kind: 'objectRead';
  readonly object: StoredObjectName;
  /** When the call was sent. */
  readonly sentAt: Milliseconds;
  readonly outcome: ReadOutcome;
}
export type ReadOutcome =
  | { readonly kind: 'found'; readonly revision: number; readonly value: unknown }
  | { readonly kind: 'absent' }
  | { readonly kind: 'failed'; readonly reason: string };

/** A write of one of the daemons' own objects in the store ended. */
export interface ObjectWrittenEvent {
  readonly kind: 'objectWritten';
  readonly object: StoredObjectName;
  readonly sentAt: Milliseconds;
  readonly outcome: WriteOutcome;
}
export type WriteOutcome =
  | { readonly kind: 'written'; readonly revision: number }
  /** The store has another revision: this call wrote nothing. */
  | { readonly kind: 'conflict'; readonly revision: number; readonly value: unknown }
  /** The store rejected the call and wrote nothing. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** The write may have taken effect, or may still take effect later. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Names of the objects that the daemons keep in the store. */
export type StoredObjectName = 'leader' | 'ownership' | 'quarantines';

/** A grant, release or probe call to a server ended. */
export interface ControlEndedEvent {
  readonly kind: 'controlEnded';
  readonly callId: number;
  readonly outcome: ControlOutcome;
}
export type ControlOutcome =
  | { readonly kind: 'accepted'; readonly handover: string | null }
  | { readonly kind: 'higherFence' }
  /** A server of another name listens at the server's address; `instance` is that name, or null if the answer did not state it. */
  | { readonly kind: 'otherInstance'; readonly instance: InstanceName | null }
  | { readonly kind: 'rejected'; readonly status: number }
  | { readonly kind: 'unanswered'; readonly reason: string }
  /** The call never reached the server. `refused` says that the connection was refused: nothing listens at the address. */
  | { readonly kind: 'notSent'; readonly reason: string; readonly refused: boolean };

/** A caller's request was read completely. */
export interface RequestArrivedEvent {
  readonly kind: 'requestArrived';
  readonly requestId: number;
  /** The caller's id of this attempt, for the logs. */
  readonly attemptId: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  /** How long the caller will wait for the response; null: not stated. */
  readonly callerTimeout: Milliseconds | null;
  readonly key: Key | null;
  readonly fingerprint: RequestFingerprint;
  /** How long the request may have waited unread because the event loop was behind. */
  readonly readDelay: Milliseconds;
  /** The daemon that sent the request here for its caller; null: the caller itself did. */
  readonly origin: RequestOrigin | null;
}
/** The caller closed its connection, or the request's answer can no longer be delivered on it. */
export interface CallerLeftEvent {
  readonly kind: 'callerLeft';
  /** Why the answer can't be delivered; absent: the caller closed its connection. */
  readonly reason?: string | undefined;
  readonly requestId: number;
  readonly attemptId: string;
  /** Whether the request's `requestArrived` event was delivered before. */
  readonly isArrivalReported: boolean;
}
/** An attempt to send a request to a server ended. */
export interface AttemptEndedEvent {
  readonly kind: 'attemptEnded';
  readonly requestId: number;
  readonly attempt: number;
  readonly result: AttemptResult;
}
/** The load that a response reports of its server; null: the response reports none. */
export type LoadReading = ReportedLoad | UnreadableLoad | null;
/** A load report that cannot be parsed. */
export interface UnreadableLoad {
  readonly unreadable: string;
}
/** What ties an answer to the request that waited for it. */
export type AnswerAttribution =
  /** The answer names the request's attempt id. */
  | 'id'
  /** It names no id, but its connection had carried no other request that it could belong to. */
  | 'new connection';

/** A response whose end only the end of its connection marked. */
export interface UnmarkedEnd {
  readonly bytes: number;
  /** Pieces in which the body arrived. */
  readonly pieces: number;
  /** Number of requests that the connection had carried before. */
  readonly earlierRequests: number;
}

export type AttemptResult =
  /** A complete response, or the head of a streamed one, was sent to the caller. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly load: LoadReading;
      /** Absent: the response stated its length or marked its end. */
      readonly unmarkedEnd?: UnmarkedEnd;
    }
  /**
   * The server answered with a status that its caller would take for the promise that the request has not run, which the server does not
   * state. The answer was not passed on.
   */
  | { readonly kind: 'ambiguousAnswer'; readonly status: number; readonly load: LoadReading }
  /** The server states that it did not execute the request. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly misdirected: boolean;
      readonly load: LoadReading;
      /** How the answer was attributed to the request. */
      readonly attribution: AnswerAttribution;
    }
  /** No connection could be opened. `refused` says that it was refused: nothing listens at the address. */
  | { readonly kind: 'notSent'; readonly reason: string; readonly refused: boolean }
  /** The request can't be sent to any server as it is, and nothing of it was written. Says nothing about the server. */
  | { readonly kind: 'unsendable'; readonly reason: string }
  /** Another daemon, to which the request was sent as a proxy, states that no server has run it or will. */
  | {
      readonly kind: 'refusedByProxy';
      readonly reason: string;
      /** Delay after which the caller should retry; null: not stated. */
      readonly retryAfter: Milliseconds | null;
      /** Attempts at servers so far, at both daemons. */
      readonly attempts: number;
      /** Whether the proxy has no path to the servers either. */
      readonly isPathLost: boolean;
      /** What the proxy names as proof for each of its attempts, for the log. */
      readonly proofs: readonly string[];
    }
  /** The proxy has given up the request, which a server may have run. */
  | { readonly kind: 'failedAtProxy'; readonly reason: string }
  /** The attempt was given up before it was sent, which says nothing about the server. */
  | { readonly kind: 'withdrawn'; readonly reason: string }
  /** The runtime checked right before the write and found that the server may not get the request any more. */
  | { readonly kind: 'withheld' }
  /** The request may have been executed. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether part of the response was sent to the caller. */
      readonly isResponseStarted: boolean;
      /** Whether the server's side closed the connection, as happens when its process crashes. */
      readonly isClosedByServer: boolean;
      /** The attempt id that an answer named which is not this request's; null: it named none. Absent: there was no such answer. */
      readonly foreignAttemptId?: string | null;
    };

/** How a check of a path failed in which neither a connection nor a refusal arrived in time. */
export const CHECK_TIMED_OUT = 'timeout';

/** How busy this daemon was during a check of a path. */
export interface CheckConditions {
  /** The largest delay of the event loop during the check. */
  readonly loopDelay: Milliseconds;
  /** Bytes for other daemons that the operating system had not accepted when the check ended. */
  readonly unwrittenBytes: number;
  /** Bytes written to other daemons during the check and shortly before it, which the operating system may not have sent yet. */
  readonly recentlyWrittenBytes: number;
}

/** A check of the path to a server ended. */
export interface PathCheckedEvent extends CheckConditions {
  readonly kind: 'pathChecked';
  readonly checkId: number;
  /** Why no connection could be opened; null: one was. */
  readonly failure: string | null;
}

/** A server's response to a request, probe or control call announces draining or a back-off. */
export interface ServerNoticedEvent {
  readonly kind: 'serverNoticed';
  readonly server: ServerId;
  readonly notice: ServerNotice;
}

/** A server's response to a request, probe or control call states the server's rate limit, or that there is none. */
export interface ServerLimitReadEvent {
  readonly kind: 'serverLimitRead';
  readonly server: ServerId;
  readonly reading: LimitReading;
  /** When the request or call was sent: the response was produced later. */
  readonly sentAt: Milliseconds;
}

/** A message of the parent or of a child arrived. */
export interface PeerMessageEvent {
  readonly kind: 'peerMessage';
  /** Number of the connection to the other daemon. */
  readonly link: number;
  readonly message: PeerMessage;
}
/** The connection of a child closed. */
export interface PeerLeftEvent {
  readonly kind: 'peerLeft';
  /** Number of the connection. */
  readonly link: number;
}
/** The connection to the parent was established. */
export interface ParentLinkOpenedEvent {
  readonly kind: 'parentLinkOpened';
}
/** The connection to the parent closed or could not be established. */
export interface ParentLinkClosedEvent {
  readonly kind: 'parentLinkClosed';
  readonly address: Address;
  /** Whether the connection was refused: nothing listens at the address. */
  readonly refused: boolean;
}
/** The settings file was read again. */
export interface SettingsReadEvent {
  readonly kind: 'settingsRead';
  /** Null: the new settings are invalid, and the current ones stay in force. */
  readonly bounds: RouterBounds | null;
  /** Errors in invalid settings, one line each. */
  readonly faults: readonly string[];
}
/** An operator lifted the quarantine of a request. */
export interface QuarantineLiftedEvent {
  readonly kind: 'quarantineLifted';
  /** The `value` of the request's fingerprint. */
  readonly fingerprint: string;
}
/** A planned stop of this daemon begins. */
export interface StoppingEvent {
  readonly kind: 'stopping';
}

export type RouterEvent =
  | TickEvent
  | ResumedEvent
  | ConfigurationEvent
  | ServersListedEvent
  | ServersChangedEvent
  | EvacuationsListedEvent
  | EvacuationsChangedEvent
  | FeedAnsweredEvent
  | FeedFailedEvent
  | ObjectReadEvent
  | ObjectWrittenEvent
  | ControlEndedEvent
  | RequestArrivedEvent
  | CallerLeftEvent
  | AttemptEndedEvent
  | PathCheckedEvent
  | ServerNoticedEvent
  | ServerLimitReadEvent
  | PeerMessageEvent
  | PeerLeftEvent
  | ParentLinkOpenedEvent
  | ParentLinkClosedEvent
  | SettingsReadEvent
  | QuarantineLiftedEvent
  | StoppingEvent;
