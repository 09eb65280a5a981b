/**
 * One replica of a control shard's ownership log, in memory only. The protocol is Raft (Ongaro and
 * Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014) with pre-votes and
 * membership changes of one replica at a time. Since votes and entries are not written to disk, a restarted
 * process must not act as the replica it was before: its incarnation is part of its replica id. See
 * docs/design/consensus.md.
 */
import type { Milliseconds, ReplicaId, ShardId } from '../identifiers.js';
import type { TableChange } from '../messages.js';
import { tableFromChange, type OwnershipTable } from '../ownership/ownership-table.js';
import { ReplicatedLog } from './replicated-log.js';

export type ReplicaRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** A leader's record of one follower's progress. */
export interface FollowerProgress {
  nextIndex: number;
  matchIndex: number;
  /** The newest heartbeat round that the follower replied to. */
  acknowledgedRound: number;
  lastReplyAt: Milliseconds;
}

export interface ShardReplica {
  readonly shard: ShardId;
  readonly generation: number;
  readonly self: ReplicaId;
  term: number;
  votedFor: ReplicaId | null;
  role: ReplicaRole;
  leader: ReplicaId | null;
  log: ReplicatedLog;
  commitIndex: number;
  appliedIndex: number;
  /** The table after the entry at `appliedIndex`. */
  table: OwnershipTable;
  electionDeadline: Milliseconds;
  lastLeaderContactAt: Milliseconds;
  /**
   * Whether a voter reported that this replica is no longer in the replica set. The replica then starts no
   * election until a leader contacts it.
   */
  removedFromReplicaSet: boolean;
  readonly votes: Set<ReplicaId>;
  readonly progress: Map<ReplicaId, FollowerProgress>;
  round: number;
  /** The newest heartbeat round that a majority, the leader included, has acknowledged. */
  quorumRound: number;
  lastQuorumContactAt: Milliseconds;
  nextHeartbeatAt: Milliseconds;
}

/** Creates a replica of a newly formed generation of a shard. */
export function createShardReplica(
  shard: ShardId,
  generation: number,
  self: ReplicaId,
  replicas: readonly ReplicaId[],
  table: TableChange,
): ShardReplica {
  return {
    shard,
    generation,
    self,
    term: 0,
    votedFor: null,
    role: 'follower',
    leader: null,
    log: new ReplicatedLog(0, 0, replicas),
    commitIndex: 0,
    appliedIndex: 0,
    table: tableFromChange(table),
    electionDeadline: 0,
    lastLeaderContactAt: Number.NEGATIVE_INFINITY,
    removedFromReplicaSet: false,
    votes: new Set(),
    progress: new Map(),
    round: 0,
    quorumRound: 0,
    lastQuorumContactAt: 0,
    nextHeartbeatAt: 0,
  };
}

/** Returns the number of replicas that form a majority of `count`. */
export function majoritySize(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** Returns the other replicas in the newest replica set. */
export function otherReplicas(replica: ShardReplica): ReplicaId[] {
  return replica.log.replicas.filter((id) => id !== replica.self);
}
