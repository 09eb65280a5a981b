/**
 * State of the leader beyond what is in the store. It is lost with the leader; a successor does not need it.
 */
import type { Address } from '../model/address.js';
import type { Fence, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { KeyLoad } from './key-load.js';
import type { LeaseLogState } from './lease-log.js';
import type { OwnershipTable, UnitRange } from './ownership-table.js';
import type { RecentPeak } from './recent-peak.js';
import type { ServiceTimeEstimator } from './service-time-estimator.js';
import type { BackOffReports } from '../notices/back-off-reports.js';
import type { RecentLimits } from '../limits/recent-limits.js';
import type { PermitBuckets } from '../limits/permit-buckets.js';
import type { LeaderRecord } from './stored-objects.js';
import type { UnconfirmedReleases } from './unconfirmed-releases.js';

/** Progress of a unit from its former owner to its owner. */
export type UnitPhase = 'releasing' | 'granting' | 'held';

export interface UnitProgress {
  phase: UnitPhase;
  readonly fence: Fence;
  /** False while the owner has certainly never been granted this unit. */
  ownerMayHold: boolean;
  /** The owner refused this fence, which is used in no further call; a higher one must be assigned. */
  isFenceRefused: boolean;
  handover: string | null;
  /** Time at which the next call is due. */
  nextCallAt: Milliseconds;
  callsInFlight: number;
  /** Time at which the owner last accepted a grant of this leader; null: it has accepted none. */
  grantedAt: Milliseconds | null;
}

/** Leases that a server may hold, and whether the server answers calls. */
export interface ServerLease {
  /** Time after which the leases of all answered grants have expired. */
  holdsUntil: Milliseconds;
  /** Grants that were sent and have neither been answered nor timed out. */
  grantsInProgress: number;
  /** Time at which the last unanswered grant timed out or failed, and the longest lease of the unanswered grants. */
  unansweredGrantEndedAt: Milliseconds;
  unansweredLeaseDuration: Milliseconds;
  /** Calls without an answer since the last answered one. */
  unanswered: number;
  /** Time at which the first of these calls was sent. The server may have ended shortly after it. */
  unansweredSince: Milliseconds;
  /** Time at which the second one was sent. A server that has ended answers nobody after it. */
  silentSince: Milliseconds;
  /** Time at which the last unanswered call was sent. */
  lastUnansweredAt: Milliseconds;
  nextProbeAt: Milliseconds;
  probeInFlight: boolean;
  /** Time at which the releases that the server has not confirmed are repeated next. */
  nextRepeatAt: Milliseconds;
  /** The server answers neither this daemon's calls nor other daemons, and is assigned no units. */
  unresponsive: boolean;
  /** Time at which the server was last found unresponsive. */
  unresponsiveSince: Milliseconds;
  /** The process of the server has certainly ended, so it is not called any more. */
  ended: boolean;
  /** The server has answered a call of this leader, or owned keys when the leadership began. */
  wasReached: boolean;
}

/** A call to a server that is in progress. */
export interface PendingCall {
  readonly action: 'grant' | 'release' | 'probe';
  readonly server: ServerId;
  readonly address: Address;
  /** The keys of the unit. */
  readonly range: UnitRange;
  readonly fence: Fence;
  readonly leaseDuration: Milliseconds;
  readonly sentAt: Milliseconds;
}

/** A repeated release that is in progress. */
export interface PendingRelease {
  /** The server that is called: the former owner, or the one that listens at its address after its end. */
  readonly server: ServerId;
  readonly former: ServerId;
  readonly address: Address;
  readonly range: UnitRange;
  readonly fence: Fence;
}

export interface TableWrite {
  readonly table: OwnershipTable;
  readonly writeId: string;
  /**
   * Time of the next attempt after the write failed or its answer was lost; null while an attempt is in
   * progress.
   */
  retryAt: Milliseconds | null;
}

export interface Leadership {
  readonly term: number;
  /** Revision of the leader record as last written by this leader. */
  leaderRevision: number;
  beat: number;
  /** Time at which the last write that confirmed the leadership was sent. */
  confirmedAt: Milliseconds;
  confirmationInFlight: boolean;
  nextConfirmationAt: Milliseconds;
  /** Delay before the retry of a refused confirmation. */
  confirmationRetryDelay: Milliseconds;
  table: OwnershipTable;
  tableRevision: number;
  pendingWrite: TableWrite | null;
  readonly startedAt: Milliseconds;
  /** Time after which no grant of an earlier leader arrives at a server, other than those that a network failure holds up. */
  formerLeaderCallsEndAt: Milliseconds;
  /** Time after which nothing that a kernel has kept of an earlier leader's calls arrives at a server, however long it was held up. */
  readonly formerCallsArriveUntil: Milliseconds;
  /** Time after which the leases granted by earlier leaders have expired. */
  formerLeaderLeasesEndAt: Milliseconds;
  /** The previous leader, if no leader before it can still act; otherwise null. */
  readonly former: LeaderRecord | null;
  readonly unitProgress: Map<string, UnitProgress>;
  readonly leases: Map<ServerId, ServerLease>;
  /** Listed servers of keyed services that nobody has reached; they get no keys. */
  readonly unreachedServers: Set<ServerId>;
  readonly pendingCalls: Map<number, PendingCall>;
  /** Releases that former owners have not confirmed. The table in the store may still have some that they have. */
  unconfirmedReleases: UnconfirmedReleases;
  readonly repeatedReleases: Map<number, PendingRelease>;
  /** More grants and renewals were due at the last tick than were sent. */
  hasGrantBacklog: boolean;
  /** Addresses of servers, including those that are no longer listed. */
  readonly addresses: Map<ServerId, Address>;
  /**
   * Servers that listen at the addresses of ended ones. Only their release shows that no server holds keys under the grants of the
   * ended ones before these expire.
   */
  readonly successors: Map<Address, ServerId>;
  readonly keyLoad: Map<ServiceName, KeyLoad>;
  /** Estimates of the time that servers work on a request. */
  readonly serviceTimeEstimators: Map<ServerId, ServiceTimeEstimator>;
  /** Times at which servers last answered a request of any daemon. */
  readonly answeredAt: Map<ServerId, Milliseconds>;
  /** Back-offs that owners asked daemons for. */
  readonly rests: BackOffReports;
  /** Token buckets of servers with rate limits. */
  readonly permitBuckets: PermitBuckets;
  readonly recentLimits: RecentLimits;
  /** Times at which rate-limited servers that receive no requests were last probed. */
  readonly limitProbedAt: Map<ServerId, Milliseconds>;
  lateCallSeenAt: Milliseconds;
  plannedAt: Milliseconds;
  nextPlanAt: Milliseconds;
  nextMergeAt: Milliseconds;
  nextReportAggregationAt: Milliseconds;
  /** Number of connected daemons, as its recent peak. */
  readonly daemonCount: RecentPeak;
  /** Number of view updates since the revision of the table, which orders the views of one revision. */
  viewStep: number;
  viewChanged: boolean;
  nextBroadcastAt: Milliseconds;
  readonly leaseLog: LeaseLogState;
}
