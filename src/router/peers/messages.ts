/** The messages between daemons, discriminated by `kind`. Mirrors proto/router.proto. */
import type { Address } from '../model/address.js';
import type { Configuration } from '../model/configuration.js';
import type { DaemonName, Key, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { InstanceName } from '../model/server-incarnation.js';
import type { ServerDescription } from '../model/server.js';
import type { AnnouncedServiceLoad, ReportedServiceLoad } from '../load-view/load-messages.js';
import type { RestReport } from '../notices/back-off-reports.js';
import type { PermitAnswer, PermitAsk } from '../limits/permit-messages.js';
import type { LimitStatement } from '../limits/server-limits.js';
import type { LeavingServer } from '../notices/draining-servers.js';
import type { ProxyDescription } from '../proxying/proxy-candidate.js';
import type { CrashRecord } from '../quarantine/crash-record.js';
import type { EvacuationStatement } from '../news/zone-evacuations.js';

/** Request counts of the keys of a service. */
export interface KeySample {
  readonly service: ServiceName;
  readonly keys: Key[];
  /** Number of requests for the key at the same index. */
  readonly counts: number[];
}
/** Number and total response time of the requests that a server answered, including those that waited for a slot. */
export interface ServerTimes {
  readonly server: ServerId;
  readonly requests: number;
  readonly total: Milliseconds;
  /** Time since the last of these answers. */
  readonly lastAnswerAge: Milliseconds;
}
/** One incarnation of a daemon, that is, one run of its process. */
export interface DaemonLife {
  readonly daemon: DaemonName;
  readonly life: number;
}
/** Sent by a child to its parent: that it is alive, the versions that it knows, and what its subtree has observed. */
export interface Report extends DaemonLife {
  readonly kind: 'report';
  /** Address for connections from other daemons. */
  readonly address: Address;
  readonly zone: string;
  readonly configurationVersion: number;
  /** Highest revision of a server's entry that the sender knows. */
  readonly serversRevision: number;
  /** Revision of the store up to which the sender knows all changes of servers, or 0 if it has no list yet. */
  readonly serversPosition: number;
  /** Sequence number of the sender's ownership view, or 0 if the view belongs to another term. */
  readonly ownershipSequence: number;
  /** Term and sequence number of the sender's ownership view, whichever leader it is from; 0 from an earlier software version. */
  readonly viewTerm: number;
  readonly viewSequence: number;
  /** Number of daemons in the sender's subtree, including itself. */
  readonly daemons: number;
  /** Daemons that have joined the sender's subtree since the last report. */
  readonly started: DaemonLife[];
  /** The sender or a descendant has found a server that owns keys overloaded since the last report. */
  readonly overloaded: boolean;
  /** Address of a relay that didn't answer, or empty. */
  readonly failedRelay: Address | '';
  /** Null if the sender's software version doesn't send this field. */
  readonly evacuations: EvacuationStatement | null;
  /** When the report was sent, by the sender's clock. Heartbeats return it. */
  readonly sentAt: Milliseconds;
  readonly samples: KeySample[];
  readonly times: ServerTimes[];
  /** Key owners that asked the sender or a descendant to back off since the last report. */
  readonly rests: RestReport[];
  /** The sender as a proxy. Null if its software version doesn't send this field. */
  readonly reach: ProxyDescription | null;
  /** Proxies in the sender's subtree. */
  readonly proxies: ProxyDescription[];
  /** Whether the sender or a descendant has lost its path to servers, or doubts it. */
  readonly needsProxies: boolean;
  /** Number of daemons in the sender's subtree, including itself, that have lost their path to the servers of a service. */
  readonly pathlessDaemons: number;
  /** What the sender and its subtree have counted for balanced services since the last report. */
  readonly serviceLoads: ReportedServiceLoad[];
  /** Number of daemons whose counts these are; 0 if the sender's software version doesn't send them. */
  readonly loadDaemons: number;
  /** The sender or a descendant has seen demand rise since the last report. */
  readonly demandRose: boolean;
}
/** Identifies the daemon that leads, and its term. */
export interface LeaderIdentity {
  readonly term: number;
  readonly leader: DaemonName;
  readonly leaderLife: number;
  readonly leaderAddress: Address;
}
/**
 * Sent by a daemon that has learned of another leader to its former parent and its children. Daemons whose store requests are rejected
 * find the leader this way, a former leader among them.
 */
export interface LeaderNotice extends LeaderIdentity {
  readonly kind: 'leaderNotice';
}
/** What the sender knows of the leader; sent down the propagation tree. */
export interface Heartbeat extends LeaderIdentity {
  readonly kind: 'heartbeat';
  /** Time since the leader sent this information. */
  readonly heardAge: Milliseconds;
  /** Age of the store's last confirmation of the leadership, at the time when the leader sent this information. */
  readonly confirmationAge: Milliseconds;
  /** Revision of the leader's object in the store after that confirmation, or 0 if it isn't sent. */
  readonly leaderRevision: number;
  /** Age of the sender's configuration and servers: all changes that the store had accepted before are applied. */
  readonly newsAge: Milliseconds;
  /** Age of the sender's list of evacuated zones. */
  readonly evacuationsAge: Milliseconds;
  /** `sentAt` of the last report that the sender has read from the receiver; 0: none. */
  readonly reportSentAt: Milliseconds;
  /** Time from reading that report to sending this heartbeat. */
  readonly reportHeld: Milliseconds;
  /** Number of connected daemons, including the leader. */
  readonly daemons: number;
  /** Children of the sender that watch the store in addition to the sender. */
  readonly watchers: DaemonName[];
  /** Version of the sender's configuration. */
  readonly configurationVersion: number;
  /** Highest revision of a server's entry that the sender knows. */
  readonly serversRevision: number;
  /** Revision of the store up to which the sender knows all changes of servers. A receiver that knows less has missed changes. */
  readonly serversPosition: number;
  /** The same for the configuration. */
  readonly configurationRevision: number;
  /** Null if the sender's software version doesn't send this field. */
  readonly evacuations: EvacuationStatement | null;
  /** Proxies for the receiver and its subtree; empty if none of them needs any. */
  readonly proxies: ProxyDescription[];
  /** Number of daemons that have lost their path to the servers of a service. */
  readonly pathlessDaemons: number;
  /** Load of balanced services over all daemons; empty if the leader's software version doesn't send it. */
  readonly serviceLoads: AnnouncedServiceLoad[];
}
/** The ownership of a unit, a key range with one owner. */
export interface UnitStatement {
  readonly service: ServiceName;
  readonly from: Key;
  readonly to: Key;
  readonly owner: string;
  readonly fence: number;
  readonly granted: boolean;
}
/** The leader's ownership view: a snapshot, or a delta to an earlier sequence number. */
export interface Ownership {
  readonly kind: 'ownership';
  readonly term: number;
  readonly sequence: number;
  /** Sequence number to which `units` is a delta, or 0 if `units` is a snapshot. */
  readonly base: number;
  /** Term of the view that `base` belongs to; 0: the term of this message. */
  readonly baseTerm: number;
  readonly units: UnitStatement[];
}
/** Sent by the leader to a daemon that should connect to a relay instead. */
export interface Redirect {
  readonly kind: 'redirect';
  readonly address: Address;
}
/** Where an update came from; it isn't sent back there. */
export type UpdateSource = 'store' | 'parent' | 'child';
/** The entry of one server after a change. */
export interface ServerChange {
  /** Name of the entry. */
  readonly id: InstanceName;
  /** Null if the server is no longer listed. */
  readonly server: ServerDescription | null;
}
/** Changes of servers between two revisions of the store, or a snapshot. */
export interface ServerNews {
  readonly kind: 'serverNews';
  /** Revision to which `changes` is a delta: a receiver must know all changes up to it. 0 if `changes` is a snapshot of all servers. */
  readonly base: number;
  /** `changes` includes every change after this revision. A receiver between the two may hold servers that have been removed since. */
  readonly completeFrom: number;
  /** Revision up to which all changes are known after `changes` is applied. */
  readonly revision: number;
  readonly changes: ServerChange[];
}
/** A configuration and its revision in the store. */
export interface ConfigurationNews {
  readonly kind: 'configurationNews';
  readonly revision: number;
  readonly configuration: Configuration;
}

/** Requests during which servers crashed: new records, or a snapshot for a daemon that has just connected. */
export interface CrashNews {
  readonly kind: 'crashNews';
  readonly records: CrashRecord[];
}

/** Servers that announced in responses that they are draining: new ones, or a snapshot for a daemon that has just connected. */
export interface LeavingNews {
  readonly kind: 'leavingNews';
  readonly servers: LeavingServer[];
}

/** Rate limits that servers announce for all daemons together: changes, or a snapshot for a daemon that has just connected. */
export interface LimitNews {
  readonly kind: 'limitNews';
  readonly limits: LimitStatement[];
}

/** A message between two daemons. */
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
