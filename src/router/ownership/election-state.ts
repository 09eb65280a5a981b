/** What a daemon knows of the leader, and how far its own candidacy is. */
import type { Milliseconds } from '../model/identifiers.js';
import type { OwnershipTable } from './ownership-table.js';
import type { LeaderRecord } from './stored-objects.js';

/** Steps of a daemon that wants to lead. */
export type CandidacyPhase = 'claiming' | 'readingTable' | 'claimingTable';

export interface Candidacy {
  phase: CandidacyPhase;
  readonly claim: LeaderRecord;
  /** Revision of the leader's object once it names this daemon. */
  revision: number;
  /** When the write or read that showed this daemon as the leader was sent. */
  confirmedAt: Milliseconds;
  /** The leader before had ended for certain before this daemon started. */
  readonly predecessorEnded: boolean;
  /** When this daemon first saw the revision that it replaces: the leader before wrote nothing later. */
  readonly formerSeenAt: Milliseconds;
  /** The leader that is replaced. */
  readonly former: LeaderRecord | null;
  /** The table that is claimed, and the revision that it replaces (null: there is none). */
  table: OwnershipTable;
  tableRevision: number | null;
  /** The step under way is tried again at this time. */
  stepAt: Milliseconds;
}

export interface ElectionState {
  /** As last read from the store. */
  leader: LeaderRecord | null;
  leaderRevision: number;
  /** When the leader's object was first read with this revision. */
  unchangedSince: Milliseconds;
  lastHeartbeatAt: Milliseconds;
  /** Age of the leader's confirmation, as its last heartbeat said. */
  confirmationAge: Milliseconds;
  reading: boolean;
  /** Reads of the leader's object that failed since the last one that did not. */
  failedReads: number;
  nextReadAt: Milliseconds;
  /** Nothing listens at the leader's address. */
  leaderRefused: number;
  candidacy: Candidacy | null;
  lastReportAt: Milliseconds;
  nextReportAt: Milliseconds;
  /** When this daemon started, by its first event. */
  startedAt: Milliseconds;
  nextTableReadAt: Milliseconds;
  readingTable: boolean;
  /** Drawn anew for each wait, so that daemons do not stand at the same moment. */
  jitter: Milliseconds;
}

/** The state of a daemon that has heard of no leader. */
export function createElection(): ElectionState {
  return {
    leader: null,
    leaderRevision: 0,
    unchangedSince: 0,
    lastHeartbeatAt: Number.NEGATIVE_INFINITY,
    confirmationAge: 0,
    reading: false,
    failedReads: 0,
    nextReadAt: 0,
    leaderRefused: 0,
    candidacy: null,
    lastReportAt: 0,
    nextReportAt: 0,
    startedAt: -1,
    nextTableReadAt: 0,
    readingTable: false,
    jitter: 0,
  };
}
