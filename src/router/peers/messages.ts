/** The messages between daemons, told apart by `kind`. Mirrors proto/router.proto. */
import type { Configuration } from '../model/configuration.js';
import type { DaemonName, Key, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { InstanceName } from '../model/server-life.js';
import type { ServerDescription } from '../model/server.js';
import type { RestReport } from '../notices/rest-reports.js';
import type { PermitAnswer, PermitAsk } from '../limits/permit-messages.js';
import type { LimitStatement } from '../limits/server-limits.js';
import type { LeavingServer } from '../notices/leaving-servers.js';
import type { CrashRecord } from '../quarantine/crash-record.js';
import type { EvacuationStatement } from '../news/zone-evacuations.js';

/** The keys that callers asked for, and how often each. */
export interface KeySample {
  readonly service: ServiceName;
  readonly keys: Key[];
  /** Requests for the key at the same index. */
  readonly counts: number[];
}
/** How long the answers of a server took, those that waited for a slot included. */
export interface ServerTimes {
  readonly server: ServerId;
  readonly requests: number;
  readonly total: Milliseconds;
}
/** A process of a daemon. */
export interface DaemonLife {
  readonly daemon: DaemonName;
  readonly life: number;
}
/** A child tells its parent that it is there, what it knows, and what it and the daemons below it have seen. */
export interface Report extends DaemonLife {
  readonly kind: 'report';
  /** `ip:port` for other daemons. */
  readonly address: string;
  readonly zone: string;
  readonly configurationVersion: number;
  /** The highest revision of a server's entry. */
  readonly serversRevision: number;
  /** The store's revision up to which all changes of servers are known, or 0 when there is no list yet. */
  readonly serversPosition: number;
  /** Of the view that it has, or 0 when that is of another term. */
  readonly ownershipSequence: number;
  /** Daemons at and below this one. */
  readonly daemons: number;
  /** Daemons that have joined below it since the last report. */
  readonly started: DaemonLife[];
  /** An owner of keys has too much to do, as this daemon or one below it has seen since the last report. */
  readonly overloaded: boolean;
  /** A relay that did not answer, or empty. */
  readonly failedRelay: string;
  /** Null: the sender's version does not tell. */
  readonly evacuations: EvacuationStatement | null;
  readonly samples: KeySample[];
  readonly times: ServerTimes[];
  /** Owners of keys that asked this daemon, or one below it, for rest since the last report. */
  readonly rests: RestReport[];
}
/** Which daemon leads. */
export interface LeaderIdentity {
  readonly term: number;
  readonly leader: DaemonName;
  readonly leaderLife: number;
  readonly leaderAddress: string;
}
/**
 * A daemon that has learned of another leader tells its former parent and its children. Those that the store turns away
 * find the leader by it, a former leader among them.
 */
export interface LeaderNotice extends LeaderIdentity {
  readonly kind: 'leaderNotice';
}
/** What is known of the leader, told down the tree. */
export interface Heartbeat extends LeaderIdentity {
  readonly kind: 'heartbeat';
  /** How long ago the leader said this. */
  readonly heardAge: Milliseconds;
  /** Age of the last confirmation of its leadership by the store, when the leader said this. */
  readonly confirmationAge: Milliseconds;
  /** Of the leader's object as that confirmation left it, or 0 when it is not said. */
  readonly leaderRevision: number;
  /** How long ago the store confirmed what the sender knows of configuration and servers. */
  readonly newsAge: Milliseconds;
  /** Daemons that are connected, the leader among them. */
  readonly daemons: number;
  /** Children of the sender that follow the store beside it. */
  readonly watchers: DaemonName[];
  /** Of the sender. */
  readonly configurationVersion: number;
  /** The highest revision of a server's entry that the sender knows. */
  readonly serversRevision: number;
  /** Null: the sender's version does not tell. */
  readonly evacuations: EvacuationStatement | null;
}
/** A unit in a statement of ownership. */
export interface UnitStatement {
  readonly service: ServiceName;
  readonly from: Key;
  readonly to: Key;
  readonly owner: string;
  readonly fence: number;
  readonly granted: boolean;
}
/** The leader's statement of ownership: whole, or what has changed since an earlier one. */
export interface Ownership {
  readonly kind: 'ownership';
  readonly term: number;
  readonly sequence: number;
  /** The sequence that the units change, or 0: they are all there are. */
  readonly base: number;
  readonly units: UnitStatement[];
}
/** The leader names a relay to a daemon that should be its child. */
export interface Redirect {
  readonly kind: 'redirect';
  readonly address: string;
}
/** Where news come from; they are not sent back there. */
export type NewsSource = 'store' | 'parent' | 'child';
/** One server's entry after a change. */
export interface ServerChange {
  /** The name of the entry. */
  readonly id: InstanceName;
  /** Null: it is no longer listed. */
  readonly server: ServerDescription | null;
}
/** Changes of servers between two revisions of the store. */
export interface ServerNews {
  readonly kind: 'serverNews';
  /** Whoever knows all changes up to here can take these in; 0: these are all servers there are. */
  readonly base: number;
  /** All changes up to here are known then. */
  readonly revision: number;
  readonly changes: ServerChange[];
}
/** A configuration, as the store had it at a revision. */
export interface ConfigurationNews {
  readonly kind: 'configurationNews';
  readonly revision: number;
  readonly configuration: Configuration;
}

/** Requests under which servers ended: what is new, or all there is for a daemon that has just connected. */
export interface CrashNews {
  readonly kind: 'crashNews';
  readonly records: CrashRecord[];
}

/** Servers that leave, as answers said it: what is new, or all there is for a daemon that has just connected. */
export interface LeavingNews {
  readonly kind: 'leavingNews';
  readonly servers: LeavingServer[];
}

/** Limits that servers name for what all daemons together send them: changes, or all there are for a daemon that has just connected. */
export interface LimitNews {
  readonly kind: 'limitNews';
  readonly limits: LimitStatement[];
}

export type PeerMessage =
  | Report
  | Heartbeat
  | LeaderNotice
  | Ownership
  | Redirect
  | ServerNews
  | ConfigurationNews
  | CrashNews
  | LeavingNews
  | LimitNews
  | PermitAsk
  | PermitAnswer;
