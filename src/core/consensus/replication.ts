/**
 * Log replication within a shard: the leader's heartbeats and entries, the followers' replies, commitment,
 * and snapshots for a replica that lacks entries which the leader has compacted.
 */
import type { ReducerContext } from '../context.js';
import type { ReplicaId } from '../identifiers.js';
import {
  createEmptyChange,
  type Append,
  type AppendReply,
  type LogEntry,
  type Snapshot,
  type TableChange,
} from '../messages.js';
import { applyChange, tableAsChange, tableFromChange } from '../ownership/ownership-table.js';
import { onCommitted, onLeadershipStarted, onLeadershipStopped } from '../ownership/shard-leadership.js';
import { adoptTerm, resetElectionTimer } from './election.js';
import { ReplicatedLog } from './replicated-log.js';
import { majoritySize, otherReplicas, type FollowerProgress, type ShardReplica } from './shard-replica.js';

const MAX_ENTRIES_PER_APPEND = 64;
const RETAINED_LOG_ENTRIES = 256;
/** A leader steps down after this many maximum election timeouts without replies from a quorum. */
const QUORUM_TIMEOUT_FACTOR = 2;

/** Makes the replica the leader after it won an election. */
export function becomeLeader(context: ReducerContext, replica: ShardReplica): void {
  replica.role = 'leader';
  replica.leader = replica.self;
  replica.progress.clear();
  replica.quorumRound = replica.round;
  replica.lastQuorumContactAt = context.now;
  replica.nextHeartbeatAt = context.now;
  context.state.counters.elections_won += 1;
  context.log('info', `became leader of shard ${replica.shard} in term ${replica.term}`);
  onLeadershipStarted(context, replica);
  propose(context, replica, createEmptyChange());
}

/** Ends the replica's leadership; does nothing when the replica does not lead. */
export function stepDown(context: ReducerContext, replica: ShardReplica, reason: string): void {
  if (replica.role !== 'leader') {
    return;
  }
  replica.role = 'follower';
  replica.leader = null;
  context.state.counters.leadership_lost += 1;
  context.log('warn', `stepped down as leader of shard ${replica.shard}: ${reason}`);
  resetElectionTimer(context, replica);
  onLeadershipStopped(context, replica);
}

/** Appends an entry to the leader's log, sends it to the followers and returns its index. */
export function propose(
  context: ReducerContext,
  replica: ShardReplica,
  change: TableChange,
  replicas: readonly ReplicaId[] = [],
): number {
  const entry: LogEntry = { term: replica.term, change, replicas: [...replicas] };
  const index = replica.log.append(entry);
  broadcastEntries(context, replica);
  advanceCommit(context, replica);
  return index;
}

function getOrCreateProgress(
  context: ReducerContext,
  replica: ShardReplica,
  follower: ReplicaId,
): FollowerProgress {
  let progress = replica.progress.get(follower);
  if (progress === undefined) {
    progress = {
      nextIndex: replica.log.lastIndex,
      matchIndex: 0,
      acknowledgedRound: 0,
      lastReplyAt: context.now,
    };
    replica.progress.set(follower, progress);
  }
  return progress;
}

function sendSnapshot(context: ReducerContext, replica: ShardReplica, follower: ReplicaId): void {
  const { shard, generation, term, round, appliedIndex, log, table } = replica;
  context.state.counters.snapshots_sent += 1;
  context.sendToReplica(follower, {
    kind: 'snapshot',
    shard,
    generation,
    term,
    round,
    lastIndex: appliedIndex,
    lastTerm: log.termAt(appliedIndex) ?? 0,
    replicas: [...log.replicasAt(appliedIndex)],
    table: tableAsChange(table),
  });
}

function sendAppend(context: ReducerContext, replica: ShardReplica, follower: ReplicaId): void {
  const progress = getOrCreateProgress(context, replica, follower);
  const { shard, generation, term, round, log, commitIndex } = replica;
  const previousIndex = Math.max(0, progress.nextIndex - 1);
  const previousTerm = log.termAt(previousIndex);
  if (previousTerm === undefined) {
    sendSnapshot(context, replica, follower);
    return;
  }
  const entries = log.entriesFrom(previousIndex + 1, MAX_ENTRIES_PER_APPEND);
  context.sendToReplica(follower, {
    kind: 'append',
    shard,
    generation,
    term,
    round,
    previousIndex,
    previousTerm,
    entries,
    commitIndex,
  });
}

/** Starts a heartbeat round: sends each follower the entries that it lacks. */
export function broadcastEntries(context: ReducerContext, replica: ShardReplica): void {
  replica.round += 1;
  replica.nextHeartbeatAt = context.now + context.state.timing.heartbeat;
  for (const follower of otherReplicas(replica)) {
    sendAppend(context, replica, follower);
  }
  updateQuorumRound(context, replica);
}

/** Sends a heartbeat when one is due. Steps down when no quorum replies. */
export function tickReplication(context: ReducerContext, replica: ShardReplica): void {
  if (replica.role !== 'leader') {
    return;
  }
  const { timing } = context.state;
  const quorumTimeout = QUORUM_TIMEOUT_FACTOR * (timing.minElectionTimeout + timing.electionTimeoutJitter);
  if (context.now - replica.lastQuorumContactAt > quorumTimeout) {
    stepDown(context, replica, 'no quorum of replicas replies');
    return;
  }
  if (context.now >= replica.nextHeartbeatAt) {
    broadcastEntries(context, replica);
  }
}

function updateQuorumRound(context: ReducerContext, replica: ShardReplica): void {
  const rounds = replica.log.replicas.map((id) =>
    id === replica.self ? replica.round : (replica.progress.get(id)?.acknowledgedRound ?? 0),
  );
  rounds.sort((left, right) => right - left);
  const quorumRound = rounds[majoritySize(rounds.length) - 1] ?? 0;
  if (quorumRound > replica.quorumRound) {
    replica.quorumRound = quorumRound;
    replica.lastQuorumContactAt = context.now;
  }
}

function advanceCommit(context: ReducerContext, replica: ShardReplica): void {
  const { log } = replica;
  const matches = log.replicas.map((id) =>
    id === replica.self ? log.lastIndex : (replica.progress.get(id)?.matchIndex ?? 0),
  );
  matches.sort((left, right) => right - left);
  const quorum = context.state.rules.commitByQuorum ? majoritySize(matches.length) : 1;
  const candidate = matches[quorum - 1] ?? 0;
  // Only an entry of the leader's current term may be committed by counting replicas (Raft, section 5.4.2).
  if (candidate > replica.commitIndex && log.termAt(candidate) === replica.term) {
    replica.commitIndex = candidate;
    applyCommitted(context, replica);
  }
}

function applyCommitted(context: ReducerContext, replica: ShardReplica): void {
  const last = Math.min(replica.commitIndex, replica.log.lastIndex);
  while (replica.appliedIndex < last) {
    const index = replica.appliedIndex + 1;
    const entry = replica.log.entryAt(index);
    if (entry === undefined) {
      return;
    }
    applyChange(replica.table, entry.change);
    replica.appliedIndex = index;
    if (replica.role === 'leader') {
      context.state.counters.entries_committed += 1;
      onCommitted(context, replica, index, entry);
    }
  }
  replica.log.compactTo(replica.appliedIndex - RETAINED_LOG_ENTRIES);
}

function followLeader(context: ReducerContext, replica: ShardReplica, leader: ReplicaId, term: number): void {
  adoptTerm(context, replica, term);
  replica.role = 'follower';
  replica.leader = leader;
  replica.lastLeaderContactAt = context.now;
  replica.removedFromReplicaSet = false;
  resetElectionTimer(context, replica);
}

function mergeEntries(replica: ShardReplica, message: Append): void {
  message.entries.forEach((entry, offset) => {
    const index = message.previousIndex + 1 + offset;
    const known = replica.log.termAt(index);
    if (known === entry.term || index <= replica.log.baseIndex) {
      return;
    }
    if (known !== undefined) {
      replica.log.truncateFrom(index);
    }
    replica.log.append(entry);
  });
}

function sendAppendReply(
  context: ReducerContext,
  replica: ShardReplica,
  leader: ReplicaId,
  fields: Pick<AppendReply, 'round' | 'success' | 'matchIndex'>,
): void {
  const { shard, generation, term } = replica;
  context.sendToReplica(leader, {
    kind: 'appendReply',
    shard,
    generation,
    term,
    needsSnapshot: false,
    ...fields,
  });
}

/** Requests a snapshot from the leader: this replica is new in the set and has no state of the shard. */
export function requestSnapshot(context: ReducerContext, leader: ReplicaId, message: Append): void {
  const { shard, generation, term, round } = message;
  const noState = { success: false, matchIndex: 0, needsSnapshot: true };
  context.sendToReplica(leader, { kind: 'appendReply', shard, generation, term, round, ...noState });
}

/** Appends the leader's entries, or replies with the index after which entries are missing. */
export function receiveAppend(
  context: ReducerContext,
  replica: ShardReplica,
  leader: ReplicaId,
  message: Append,
): void {
  const { round } = message;
  if (message.term < replica.term) {
    sendAppendReply(context, replica, leader, { round, success: false, matchIndex: 0 });
    return;
  }
  followLeader(context, replica, leader, message.term);
  const { log } = replica;
  const isCompacted = message.previousIndex < log.baseIndex;
  const success = isCompacted || log.termAt(message.previousIndex) === message.previousTerm;
  let matchIndex = Math.min(log.lastIndex, Math.max(0, message.previousIndex - 1));
  if (success) {
    mergeEntries(replica, message);
    matchIndex = message.previousIndex + message.entries.length;
    replica.commitIndex = Math.max(replica.commitIndex, Math.min(message.commitIndex, matchIndex));
    applyCommitted(context, replica);
  }
  sendAppendReply(context, replica, leader, { round, success, matchIndex });
}

/** Replaces the log and the table with a snapshot, in place of entries that the leader has compacted. */
export function receiveSnapshot(
  context: ReducerContext,
  replica: ShardReplica,
  leader: ReplicaId,
  message: Snapshot,
): void {
  if (message.term < replica.term) {
    return;
  }
  followLeader(context, replica, leader, message.term);
  if (message.lastIndex > replica.appliedIndex) {
    replica.log = new ReplicatedLog(message.lastIndex, message.lastTerm, message.replicas);
    replica.table = tableFromChange(message.table);
    replica.commitIndex = message.lastIndex;
    replica.appliedIndex = message.lastIndex;
  }
  sendAppendReply(context, replica, leader, {
    round: message.round,
    success: true,
    matchIndex: replica.appliedIndex,
  });
}

/** Records a follower's progress and sends the entries that it still lacks. */
export function receiveAppendReply(
  context: ReducerContext,
  replica: ShardReplica,
  follower: ReplicaId,
  message: AppendReply,
): void {
  if (message.term > replica.term) {
    adoptTerm(context, replica, message.term);
    replica.role = 'follower';
    return;
  }
  if (replica.role !== 'leader' || message.term < replica.term || !replica.log.replicas.includes(follower)) {
    return;
  }
  const progress = getOrCreateProgress(context, replica, follower);
  progress.acknowledgedRound = Math.max(progress.acknowledgedRound, message.round);
  progress.lastReplyAt = context.now;
  updateQuorumRound(context, replica);
  if (message.needsSnapshot) {
    sendSnapshot(context, replica, follower);
    return;
  }
  if (!message.success) {
    progress.nextIndex = Math.min(progress.nextIndex, message.matchIndex + 1);
    sendAppend(context, replica, follower);
    return;
  }
  progress.matchIndex = Math.max(progress.matchIndex, message.matchIndex);
  progress.nextIndex = progress.matchIndex + 1;
  advanceCommit(context, replica);
  if (progress.matchIndex < replica.log.lastIndex) {
    sendAppend(context, replica, follower);
  }
}
