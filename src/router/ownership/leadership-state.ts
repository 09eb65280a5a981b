/** What a leader knows besides what is in the store. Lost with the leader, and not missed. */
import type { Fence, Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { KeyLoad } from './key-load.js';
import type { OwnershipTable } from './ownership-table.js';
import type { RecentPeak } from './recent-peak.js';
import type { ServerPace } from './server-pace.js';
import type { RestReports } from '../notices/rest-reports.js';
import type { RecentLimits } from '../limits/recent-limits.js';
import type { PermitBuckets } from '../limits/permit-buckets.js';
import type { LeaderRecord } from './stored-objects.js';

/** Where a unit stands between its former owner and its owner. */
export type UnitPhase = 'releasing' | 'granting' | 'held';

export interface UnitProgress {
  phase: UnitPhase;
  readonly fence: Fence;
  /** False while it is certain that the owner was never granted this unit. */
  ownerMayHold: boolean;
  /** The owner refused this fence: no call is made with it again, and a higher one is due. */
  fenceRefused: boolean;
  handover: string | null;
  /** The next call is due. */
  nextCallAt: Milliseconds;
  callsInFlight: number;
}

/** What a server may hold, and whether it answers. */
export interface ServerLease {
  /** Every lease that was answered has run out after this time. */
  holdsUntil: Milliseconds;
  /** When the last grant without an answer was sent, and its lease. */
  unansweredGrantAt: Milliseconds;
  unansweredLease: Milliseconds;
  /** Calls without an answer since the last answer. */
  unanswered: number;
  /** When the last call that stayed without an answer was sent. */
  lastUnansweredAt: Milliseconds;
  nextProbeAt: Milliseconds;
  probeInFlight: boolean;
  /** It does not answer: it gets no units. */
  silent: boolean;
  /** The process has ended for certain: it is called no more. */
  ended: boolean;
  /** What it held is free: whoever is at its address refuses calls that are meant for it. */
  heldByNobody: boolean;
  /** Who has come after it, at its address or under its name, and may have taken renewals that were meant for it; null: nobody known. */
  successor: ServerId | null;
}

/** A call to a server that is under way. */
export interface PendingCall {
  readonly action: 'grant' | 'release' | 'probe';
  readonly server: ServerId;
  /** Name of the unit. */
  readonly unit: string;
  readonly fence: Fence;
  readonly lease: Milliseconds;
  readonly sentAt: Milliseconds;
}

export interface TableWrite {
  readonly table: OwnershipTable;
  readonly writeId: string;
  /** The answer was lost: the object is read, then written again. */
  retryAt: Milliseconds | null;
}

export interface Leadership {
  readonly term: number;
  /** Revision of the leader's object as last written by this leader. */
  leaderRevision: number;
  beat: number;
  /** When the last call that confirmed the leadership was sent. */
  confirmedAt: Milliseconds;
  confirming: boolean;
  nextConfirmationAt: Milliseconds;
  /** A confirmation that is refused is tried again after this long. */
  refusedRetry: Milliseconds;
  table: OwnershipTable;
  tableRevision: number;
  write: TableWrite | null;
  readonly startedAt: Milliseconds;
  /** Earlier leaders call no server after this time. */
  formerCallsEndAt: Milliseconds;
  /** Leases of earlier leaders have run out after this time. */
  formerLeasesEndAt: Milliseconds;
  /** The leader before, if no other one before it can still act. */
  readonly former: LeaderRecord | null;
  readonly progress: Map<string, UnitProgress>;
  readonly leases: Map<ServerId, ServerLease>;
  readonly calls: Map<number, PendingCall>;
  /** Addresses of servers, those that are no longer listed included. */
  readonly addresses: Map<ServerId, string>;
  readonly keyLoad: Map<ServiceName, KeyLoad>;
  /** How fast servers work. */
  readonly paces: Map<ServerId, ServerPace>;
  /** Owners that asked daemons for rest. */
  readonly rests: RestReports;
  /** Places of servers with limits. */
  readonly permitBuckets: PermitBuckets;
  readonly recentLimits: RecentLimits;
  /** When servers with limits that nobody sends to were probed. */
  readonly limitProbedAt: Map<ServerId, Milliseconds>;
  lateOrderSeenAt: Milliseconds;
  plannedAt: Milliseconds;
  nextPlanAt: Milliseconds;
  nextJoinAt: Milliseconds;
  nextIntakeAt: Milliseconds;
  /** Daemons that are connected, or were lately. */
  readonly daemonCount: RecentPeak;
  /** Steps since the table's revision, for the order of views. */
  viewStep: number;
  viewChanged: boolean;
  nextBroadcastAt: Milliseconds;
}
