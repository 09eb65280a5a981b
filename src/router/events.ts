/** Everything that can happen to a daemon. The reducer knows nothing else of the world. */
import type { Configuration } from './model/configuration.js';
import type { FeedName, Key, Milliseconds, ServerId } from './model/identifiers.js';
import type { RequestFingerprint } from './model/request-fingerprint.js';
import type { ServerDescription } from './model/server.js';
import type { LimitReading } from './model/server-limit.js';
import type { ServerNotice } from './model/server-notice.js';
import type { EvacuationStatement } from './news/zone-evacuations.js';
import type { PeerMessage, ServerChange } from './peers/messages.js';
import type { ReportedLoad } from './request/server-load.js';
import type { RouterBounds } from './router-bounds.js';

/** Time passed. */
export interface TickEvent {
  readonly kind: 'tick';
}
/**
 * The machine was suspended, or the time of day was set ahead and no clock tells which it was. Comes before anything else that
 * happens after it.
 */
export interface ResumedEvent {
  readonly kind: 'resumed';
  readonly length: Milliseconds;
  /** The daemon's clock has counted that time. */
  readonly isCounted: boolean;
}
/** A configuration was read; the reducer ignores one that is not newer. */
export interface ConfigurationEvent {
  readonly kind: 'configuration';
  readonly configuration: Configuration;
  /** Of the store: what came after it was not seen. */
  readonly revision: number;
}
/** All servers that are listed. */
export interface ServersListedEvent {
  readonly kind: 'serversListed';
  readonly servers: readonly ServerDescription[];
  readonly revision: number;
}
/** Servers were listed, changed, or taken off the list. */
export interface ServersChangedEvent {
  readonly kind: 'serversChanged';
  readonly changes: readonly ServerChange[];
  readonly revision: number;
}
/** All zones that operators evacuate. */
export interface EvacuationsListedEvent extends EvacuationStatement {
  readonly kind: 'evacuationsListed';
}
/** A zone's evacuation was ordered or taken back. */
export interface EvacuationOrder {
  readonly zone: string;
  readonly evacuated: boolean;
}
export interface EvacuationsChangedEvent {
  readonly kind: 'evacuationsChanged';
  readonly changes: readonly EvacuationOrder[];
  readonly revision: number;
}
/** The store answered a list or a watch of a feed. */
export interface FeedAnsweredEvent {
  readonly kind: 'feedAnswered';
  readonly feed: FeedName;
}
/** A list or a watch of a feed ended without an answer that can be used. */
export interface FeedFailedEvent {
  readonly kind: 'feedFailed';
  readonly feed: FeedName;
  readonly call: 'list' | 'watch';
  /** How long the call took until it was given up. */
  readonly waited: Milliseconds;
  readonly reason: string;
}

/** An object of the daemons' own was read. */
export interface ObjectReadEvent {
  readonly kind: 'objectRead';
  readonly object: StoredName;
  /** When the call was sent. */
  readonly sentAt: Milliseconds;
  readonly outcome: ReadOutcome;
}
export type ReadOutcome =
  | { readonly kind: 'found'; readonly revision: number; readonly value: unknown }
  | { readonly kind: 'absent' }
  | { readonly kind: 'failed'; readonly reason: string };

/** A write ended. */
export interface ObjectWrittenEvent {
  readonly kind: 'objectWritten';
  readonly object: StoredName;
  readonly sentAt: Milliseconds;
  readonly outcome: WriteOutcome;
}
export type WriteOutcome =
  | { readonly kind: 'written'; readonly revision: number }
  /** Another revision is there: nothing was written by this call. */
  | { readonly kind: 'conflict'; readonly revision: number; readonly value: unknown }
  /** Nothing was done. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** It may have been written, or may be later. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** The objects that the daemons keep in the store. */
export type StoredName = 'leader' | 'ownership' | 'quarantines';

/** A grant or a release ended. */
export interface ControlEndedEvent {
  readonly kind: 'controlEnded';
  readonly callId: number;
  readonly outcome: ControlOutcome;
}
export type ControlOutcome =
  | { readonly kind: 'accepted'; readonly handover: string | null }
  | { readonly kind: 'higherFence' }
  /** Another life answers at the address. */
  | { readonly kind: 'otherInstance' }
  | { readonly kind: 'rejected'; readonly status: number }
  | { readonly kind: 'unanswered'; readonly reason: string }
  /** The call never reached the server; `refused`: nothing listens at its address. */
  | { readonly kind: 'notSent'; readonly reason: string; readonly refused: boolean };

/** A caller's whole request was read. */
export interface RequestArrivedEvent {
  readonly kind: 'requestArrived';
  readonly requestId: number;
  /** The caller's id of this try, for the logs. */
  readonly attemptId: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  /** Milliseconds that the caller will wait, or null when it does not say. */
  readonly callerPatience: Milliseconds | null;
  readonly key: Key | null;
  readonly fingerprint: RequestFingerprint;
  /** It may have waited unread for this long: the event loop was behind. */
  readonly readDelay: Milliseconds;
}
/** The caller closed its connection. */
export interface CallerLeftEvent {
  readonly kind: 'callerLeft';
  readonly requestId: number;
  readonly attemptId: string;
  /** The request's arrival was told before. */
  readonly isTakenIn: boolean;
}
/** An attempt ended. */
export interface AttemptEndedEvent {
  readonly kind: 'attemptEnded';
  readonly requestId: number;
  readonly attempt: number;
  readonly result: AttemptResult;
}
/** What an answer says of its server's load: nothing, something that cannot be read, or a load. */
export type LoadReading = ReportedLoad | UnreadableLoad | null;
export interface UnreadableLoad {
  readonly unreadable: string;
}
export type AttemptResult =
  /** A whole answer, or the head of a long one, went to the caller. */
  | { readonly kind: 'answered'; readonly status: number; readonly load: LoadReading }
  /** The server did not run it, and says so. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly misdirected: boolean;
      readonly load: LoadReading;
    }
  /** It never left this daemon; `refused`: nothing listens at the server's address. */
  | { readonly kind: 'notSent'; readonly reason: string; readonly refused: boolean }
  /** It may have run. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Part of an answer went to the caller. */
      readonly answerBegun: boolean;
      /** The server's side ended the connection, as its process does when it crashes. */
      readonly connectionEnded: boolean;
    };

/** An answer of a server, to a request, a probe or a call, says something of the server itself. */
export interface ServerNoticedEvent {
  readonly kind: 'serverNoticed';
  readonly server: ServerId;
  readonly notice: ServerNotice;
}

/** An answer of a server, to a request, a probe or a call, names a limit, or none. */
export interface ServerLimitReadEvent {
  readonly kind: 'serverLimitRead';
  readonly server: ServerId;
  readonly reading: LimitReading;
  /** When the request or call was sent: the answer was made after it. */
  readonly sentAt: Milliseconds;
}

/** A message from another daemon. */
export interface PeerMessageEvent {
  readonly kind: 'peerMessage';
  readonly link: number;
  readonly message: PeerMessage;
}
/** The connection of a child ended. */
export interface PeerLeftEvent {
  readonly kind: 'peerLeft';
  readonly link: number;
}
/** The connection to the parent is up. */
export interface ParentLinkOpenedEvent {
  readonly kind: 'parentLinkOpened';
}
/** The connection to the parent ended or could not be made. */
export interface ParentLinkClosedEvent {
  readonly kind: 'parentLinkClosed';
  readonly address: string;
  /** Nothing listens there. */
  readonly refused: boolean;
}
/** The settings were read again; null: they are bad, and those in force stay. */
export interface SettingsReadEvent {
  readonly kind: 'settingsRead';
  readonly bounds: RouterBounds | null;
  /** What is wrong with bad settings, a line each. */
  readonly faults: readonly string[];
}
/** An operator lets a request in quarantine go to servers again. */
export interface QuarantineLiftedEvent {
  readonly kind: 'quarantineLifted';
  /** The value of its fingerprint. */
  readonly fingerprint: string;
}
/** A planned stop begins. */
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
  | ServerNoticedEvent
  | ServerLimitReadEvent
  | PeerMessageEvent
  | PeerLeftEvent
  | ParentLinkOpenedEvent
  | ParentLinkClosedEvent
  | SettingsReadEvent
  | QuarantineLiftedEvent
  | StoppingEvent;
