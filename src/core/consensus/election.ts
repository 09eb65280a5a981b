/**
 * Elections within a shard. A replica first asks whether it could win (pre-vote), so that one that was
 * cut off does not depose a working leader on its return.
 */
import type { ReducerContext } from '../context.js';
import type { ReplicaId } from '../identifiers.js';
import type { Campaign, VoteReply, VoteRequest } from '../messages.js';
import { startLeading, stopLeading } from './replication.js';
import { majorityOf, otherReplicas, type ShardReplica } from './shard-replica.js';

/** Puts the next election off by a fresh random time. */
export function deferElection(context: ReducerContext, replica: ShardReplica): void {
  const { timing, random } = context.state;
  const silence = timing.electionMinimum + random.fraction() * timing.electionSpread;
  replica.electionDeadline = context.now + silence;
}

/** Follows a newer term; a leader of an older one stops leading. */
export function adoptTerm(context: ReducerContext, replica: ShardReplica, term: number): void {
  if (term <= replica.term) {
    return;
  }
  stopLeading(context, replica, 'a newer term was seen');
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
  deferElection(context, replica);
  requestVotes(context, replica, true);
  continueWithMajority(context, replica);
}

function startElection(context: ReducerContext, replica: ShardReplica): void {
  replica.role = 'candidate';
  replica.term += 1;
  replica.votedFor = replica.self;
  replica.votes.clear();
  replica.votes.add(replica.self);
  deferElection(context, replica);
  requestVotes(context, replica, false);
  continueWithMajority(context, replica);
}

function continueWithMajority(context: ReducerContext, replica: ShardReplica): void {
  const inSet = replica.log.replicas.filter((id) => replica.votes.has(id)).length;
  if (inSet < majorityOf(replica.log.replicas.length)) {
    return;
  }
  if (replica.role === 'preCandidate') {
    startElection(context, replica);
  } else if (replica.role === 'candidate') {
    startLeading(context, replica);
  }
}

/** Stands for election when the leader has been silent for too long. */
export function tickElection(context: ReducerContext, replica: ShardReplica): void {
  if (replica.electionDeadline === 0) {
    deferElection(context, replica);
  }
  const inSet = replica.log.replicas.includes(replica.self);
  const mayStand = replica.role !== 'leader' && inSet && !replica.dormant && !context.state.stopping;
  if (mayStand && context.now >= replica.electionDeadline) {
    startPreVote(context, replica);
  }
}

/** The leader stops as planned and has chosen this replica: no pre-vote, since others still hear the leader. */
export function receiveCampaign(context: ReducerContext, replica: ShardReplica, message: Campaign): void {
  if (message.term === replica.term && replica.role === 'follower' && !context.state.stopping) {
    startElection(context, replica);
  }
}

/** Gives leadership to the follower that has come furthest. */
export function handLeadershipOn(context: ReducerContext, replica: ShardReplica): void {
  const { shard, generation, term, progress } = replica;
  const [furthest] = otherReplicas(replica).sort(
    (left, right) => (progress.get(right)?.matchIndex ?? 0) - (progress.get(left)?.matchIndex ?? 0),
  );
  if (furthest === undefined) {
    // Nobody else can renew the leases that the requests in flight stand under.
    return;
  }
  stopLeading(context, replica, 'a planned stop');
  context.sendToReplica(furthest, { kind: 'campaign', shard, generation, term });
}

function isUpToDate(replica: ShardReplica, message: VoteRequest): boolean {
  const { lastIndex, lastTerm } = replica.log;
  return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
}

function hearsALeader(context: ReducerContext, replica: ShardReplica): boolean {
  const silence = context.now - replica.lastLeaderContact;
  return replica.role === 'leader' || silence < context.state.timing.electionMinimum;
}

function grantsPreVote(context: ReducerContext, replica: ShardReplica, message: VoteRequest): boolean {
  return message.term > replica.term && isUpToDate(replica, message) && !hearsALeader(context, replica);
}

function grantsVote(
  context: ReducerContext,
  replica: ShardReplica,
  candidate: ReplicaId,
  message: VoteRequest,
): boolean {
  if (message.term < replica.term || !isUpToDate(replica, message)) {
    return false;
  }
  const free = replica.votedFor === null || replica.votedFor === candidate;
  if (!free && context.state.rules.voteOncePerTerm) {
    return false;
  }
  replica.votedFor = candidate;
  deferElection(context, replica);
  return true;
}

/** Votes, or says why not. */
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
    granted = grantsPreVote(context, replica, message);
  } else if (!removed) {
    adoptTermOfCandidate(context, replica, message);
    granted = grantsVote(context, replica, candidate, message);
  }
  const term = preVote && granted ? message.term : replica.term;
  context.sendToReplica(candidate, { kind: 'voteReply', shard, generation, term, granted, preVote, removed });
}

function adoptTermOfCandidate(context: ReducerContext, replica: ShardReplica, message: VoteRequest): void {
  if (message.term > replica.term) {
    adoptTerm(context, replica, message.term);
    replica.role = 'follower';
  }
}

/** Counts a vote. */
export function receiveVoteReply(
  context: ReducerContext,
  replica: ShardReplica,
  voter: ReplicaId,
  message: VoteReply,
): void {
  if (message.removed) {
    replica.dormant = true;
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
    continueWithMajority(context, replica);
  }
}
