/** What a daemon knows about the leader, and the progress of its own candidacy. */
import type { Milliseconds } from '../model/identifiers.js';
import type { OwnershipTable } from './ownership-table.js';
import type { LeaderRecord } from './stored-objects.js';

/** Steps of a candidacy: claim the leader record, read the ownership table, and claim the table. */
export type CandidacyPhase = 'claiming' | 'readingTable' | 'claimingTable';

export interface Candidacy {
  phase: CandidacyPhase;
  readonly claim: LeaderRecord;
  /** Revision of the leader record once it names this daemon. */
  revision: number;
  /** Time at which the write or read that showed this daemon as the leader was sent. */
  confirmedAt: Milliseconds;
  /** The previous leader had certainly ended before this daemon started. */
  readonly hasPredecessorEnded: boolean;
  /**
   * Time at which this daemon first saw the revision that it replaces. The previous leader has written
   * nothing later.
   */
  readonly formerRevisionSeenAt: Milliseconds;
  /** The leader that this daemon replaces; null if there is none. */
  readonly former: LeaderRecord | null;
  /** The table that is claimed, and the revision that the claim replaces (null if there is none). */
  table: OwnershipTable;
  tableRevision: number | null;
  /** Time of the next attempt at the current step. */
  nextAttemptAt: Milliseconds;
}

export interface ElectionState {
  /** The leader as last read from the store or announced by another daemon. */
  leader: LeaderRecord | null;
  leaderRevision: number;
  /** Highest term in the store that the leader record may not have, since it was malformed or written by others. */
  highestStoredTerm: number;
  /** Time at which this daemon first learned of this revision of the leader record. */
  leaderRevisionSeenAt: Milliseconds;
  lastHeartbeatAt: Milliseconds;
  /** Age of the leader's last confirmation, according to its last heartbeat. */
  confirmationAge: Milliseconds;
  leaderReadInFlight: boolean;
  /** Consecutive failed reads of the leader record. */
  failedLeaderReads: number;
  nextLeaderReadAt: Milliseconds;
  /** Time at which there was last a responsive leader. */
  leaderlessSince: Milliseconds;
  /** Term of the leadership that this daemon resigned last; null: none. The store's record may not say so yet. */
  resignedTerm: number | null;
  /** Consecutive refused connections to the address of the leader. */
  leaderRefusals: number;
  candidacy: Candidacy | null;
  lastReportAt: Milliseconds;
  nextReportAt: Milliseconds;
  /** Time of the first event of this daemon, or -1 before it. */
  startedAt: Milliseconds;
  nextTableReadAt: Milliseconds;
  tableReadInFlight: boolean;
  /**
   * Random delay of this daemon, so that daemons do not read the store or claim the leadership at the same
   * moment.
   */
  jitter: Milliseconds;
}

/** Returns the state of a daemon that knows of no leader. */
export function createElectionState(): ElectionState {
  return {
    leader: null,
    leaderRevision: 0,
    highestStoredTerm: 0,
    leaderRevisionSeenAt: 0,
    lastHeartbeatAt: Number.NEGATIVE_INFINITY,
    confirmationAge: 0,
    leaderReadInFlight: false,
    failedLeaderReads: 0,
    nextLeaderReadAt: 0,
    leaderlessSince: Number.NEGATIVE_INFINITY,
    resignedTerm: null,
    leaderRefusals: 0,
    candidacy: null,
    lastReportAt: 0,
    nextReportAt: 0,
    startedAt: -1,
    nextTableReadAt: 0,
    tableReadInFlight: false,
    jitter: 0,
  };
}
