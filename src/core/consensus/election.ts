/**
 * Leader election within a shard. A replica first asks whether it could win (pre-vote), so that a replica
 * that was partitioned does not depose a working leader when it reconnects.
 */
import type { ReducerContext } from '../context.js';
import type { ReplicaId } from '../identifiers.js';
import type { Campaign, VoteReply, VoteRequest } from '../messages.js';
import { becomeLeader, stepDown } from './replication.js';
import { majoritySize, otherReplicas, type ShardReplica } from './shard-replica.js';

/** Restarts the election timer with a new random timeout. */
export function resetElectionTimer(context: ReducerContext, replica: ShardReplica): void {
  const { timing, random } = context.state;
  const electionTimeout = timing.minElectionTimeout + random.fraction() * timing.electionTimeoutJitter;
  replica.electionDeadline = context.now + electionTimeout;
}

/** Adopts a newer term. A leader of an older term steps down. */
export function adoptTerm(context: ReducerContext, replica: ShardReplica, term: number): void {
  if (term <= replica.term) {
    return;
  }
  stepDown(context, replica, 'a newer term was seen');
  replica.term = term;
  replica.votedFor = null;
  replica.leader = null;
}

function requestVotes(context: ReducerContext, replica: ShardReplica, preVote: boolean): void {
  const { shard, generation, log } = replica;
  const term = preVote ? replica.term + 1 : replica.term;
  const { lastIndex, lastTerm } = log;
  for (const peer of otherReplicas(replica)) {
    context.sendToReplica(peer, {
      kind: 'voteRequest',
      shard,
      generation,
      term,
      lastIndex,
      lastTerm,
      preVote,
    });
  }
}

function startPreVote(context: ReducerContext, replica: ShardReplica): void {
  replica.role = 'preCandidate';
  replica.leader = null;
  replica.votes.clear();
  replica.votes.add(replica.self);
  resetElectionTimer(context, replica);
  requestVotes(context, replica, true);
  advanceOnMajority(context, replica);
}

function startElection(context: ReducerContext, replica: ShardReplica): void {
  replica.role = 'candidate';
  replica.term += 1;
  replica.votedFor = replica.self;
  replica.votes.clear();
  replica.votes.add(replica.self);
  resetElectionTimer(context, replica);
  requestVotes(context, replica, false);
  advanceOnMajority(context, replica);
}

function advanceOnMajority(context: ReducerContext, replica: ShardReplica): void {
  const voteCount = replica.log.replicas.filter((id) => replica.votes.has(id)).length;
  if (voteCount < majoritySize(replica.log.replicas.length)) {
    return;
  }
  if (replica.role === 'preCandidate') {
    startElection(context, replica);
  } else if (replica.role === 'candidate') {
    becomeLeader(context, replica);
  }
}

/** Starts a pre-vote when the election timeout has passed without contact from a leader. */
export function tickElection(context: ReducerContext, replica: ShardReplica): void {
  if (replica.electionDeadline === 0) {
    resetElectionTimer(context, replica);
  }
  const isInReplicaSet = replica.log.replicas.includes(replica.self);
  const mayStartElection =
    replica.role !== 'leader' && isInReplicaSet && !replica.removedFromReplicaSet && !context.state.stopping;
  if (mayStartElection && context.now >= replica.electionDeadline) {
    startPreVote(context, replica);
  }
}

/**
 * Starts an election at the request of a leader that stops. Skips the pre-vote, which others would refuse
 * while they still have recent contact with that leader.
 */
export function receiveCampaign(context: ReducerContext, replica: ShardReplica, message: Campaign): void {
  if (message.term === replica.term && replica.role === 'follower' && !context.state.stopping) {
    startElection(context, replica);
  }
}

/** Transfers leadership to the follower with the highest replicated index. */
export function transferLeadership(context: ReducerContext, replica: ShardReplica): void {
  const { shard, generation, term, progress } = replica;
  const [mostCaughtUp] = otherReplicas(replica).sort(
    (left, right) => (progress.get(right)?.matchIndex ?? 0) - (progress.get(left)?.matchIndex ?? 0),
  );
  if (mostCaughtUp === undefined) {
    // No other replica can renew the server leases under which the requests in flight run, so this one keeps
    // leading.
    return;
  }
  stepDown(context, replica, 'a planned stop');
  context.sendToReplica(mostCaughtUp, { kind: 'campaign', shard, generation, term });
}

function isUpToDate(replica: ShardReplica, message: VoteRequest): boolean {
  const { lastIndex, lastTerm } = replica.log;
  return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
}

function hasRecentLeaderContact(context: ReducerContext, replica: ShardReplica): boolean {
  const sinceLeaderContact = context.now - replica.lastLeaderContactAt;
  return replica.role === 'leader' || sinceLeaderContact < context.state.timing.minElectionTimeout;
}

function decidePreVote(context: ReducerContext, replica: ShardReplica, message: VoteRequest): boolean {
  return (
    message.term > replica.term && isUpToDate(replica, message) && !hasRecentLeaderContact(context, replica)
  );
}

function decideVote(
  context: ReducerContext,
  replica: ShardReplica,
  candidate: ReplicaId,
  message: VoteRequest,
): boolean {
  if (message.term < replica.term || !isUpToDate(replica, message)) {
    return false;
  }
  const mayVote = replica.votedFor === null || replica.votedFor === candidate;
  if (!mayVote && context.state.rules.voteOncePerTerm) {
    return false;
  }
  replica.votedFor = candidate;
  resetElectionTimer(context, replica);
  return true;
}

/** Decides on a vote or pre-vote and replies to the candidate. */
export function receiveVoteRequest(
  context: ReducerContext,
  replica: ShardReplica,
  candidate: ReplicaId,
  message: VoteRequest,
): void {
  const { shard, generation } = replica;
  const { preVote } = message;
  const removed = !replica.log.replicas.includes(candidate);
  let granted = false;
  if (!removed && preVote) {
    granted = decidePreVote(context, replica, message);
  } else if (!removed) {
    adoptCandidateTerm(context, replica, message);
    granted = decideVote(context, replica, candidate, message);
  }
  const term = preVote && granted ? message.term : replica.term;
  context.sendToReplica(candidate, { kind: 'voteReply', shard, generation, term, granted, preVote, removed });
}

function adoptCandidateTerm(context: ReducerContext, replica: ShardReplica, message: VoteRequest): void {
  if (message.term > replica.term) {
    adoptTerm(context, replica, message.term);
    replica.role = 'follower';
  }
}

/** Counts a granted vote or pre-vote; adopts a newer term from a refusal. */
export function receiveVoteReply(
  context: ReducerContext,
  replica: ShardReplica,
  voter: ReplicaId,
  message: VoteReply,
): void {
  if (message.removed) {
    replica.removedFromReplicaSet = true;
    return;
  }
  if (!message.granted) {
    if (message.term > replica.term) {
      adoptTerm(context, replica, message.term);
      replica.role = 'follower';
    }
    return;
  }
  const expected: ShardReplica['role'] = message.preVote ? 'preCandidate' : 'candidate';
  const expectedTerm = message.preVote ? replica.term + 1 : replica.term;
  if (replica.role === expected && message.term === expectedTerm) {
    replica.votes.add(voter);
    advanceOnMajority(context, replica);
  }
}
