/**
 * How a daemon becomes the leader: it claims the leader record by compare-and-swap, reads the ownership
 * table, and claims the table in the same way. It leads only after both claims have succeeded.
 */
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { connectToParent } from '../tree/parent.js';
import { beginLeadership } from './begin-leadership.js';
import type { Candidacy } from './election-state.js';
import { recordLeader } from './known-leader.js';
import { EMPTY_TABLE, type OwnershipTable } from './ownership-table.js';
import { LEADERSHIP_VALIDITY } from './ownership-timing.js';
import { parseLeaderRecord, type LeaderRecord } from './stored-objects.js';
import { readOwnershipRecord, type OwnershipRecord } from './stored-table.js';

/** Delay before the retry of a candidacy step without an answer. */
const CLAIM_RETRY_DELAY: Milliseconds = 250;
/** Fields of a candidacy before the table has been read. */
const TABLE_NOT_READ = {
  table: EMPTY_TABLE,
  tableRevision: null,
  nextAttemptAt: Number.POSITIVE_INFINITY,
} as const;

/** Returns the highest term of which this daemon has learned. The leader record may name a lower one if it was written by others. */
function highestKnownTerm({ election, ownershipView }: RouterState): number {
  return Math.max(election.highestStoredTerm, election.leader?.term ?? 0, ownershipView.term);
}

/** Claims the leader record, unless this daemon is stopping or has a candidacy already. */
export function startCandidacy(context: RouterContext, former: LeaderRecord | null, revision: number): void {
  const { state, now } = context;
  if (state.stopping || state.election.candidacy !== null) {
    return;
  }
  const { daemon, life, peerAddress } = state.identity;
  const term = Math.max(former?.term ?? 0, highestKnownTerm(state)) + 1;
  const claim = { term, daemon, life, address: peerAddress, beat: 0, settled: false, resigned: false };
  // This daemon's earlier incarnation has ended, and no leader before that one can still act.
  const predecessorEnded = former?.daemon === daemon && former.life !== life && former.settled;
  const formerStopped = former?.resigned === true && former.settled;
  const formerSeenAt = formerStopped ? now - LEADERSHIP_VALIDITY : state.election.leaderRevisionSeenAt;
  state.election.candidacy = {
    ...TABLE_NOT_READ,
    phase: 'claiming',
    claim,
    revision,
    confirmedAt: now,
    hasPredecessorEnded: predecessorEnded,
    formerRevisionSeenAt: formerSeenAt,
    former,
  };
  context.log('leadership_claimed', { term: claim.term, former: former?.daemon ?? null, revision });
  writeLeaderClaim(context, state.election.candidacy);
}

function writeLeaderClaim(context: RouterContext, candidacy: Candidacy): void {
  const revision = candidacy.revision === 0 ? null : candidacy.revision;
  context.emit({ kind: 'writeObject', object: 'leader', value: candidacy.claim, revision });
}

/** Retries a step without an answer, and ends a candidacy that takes too long. */
export function tickCandidacy(context: RouterContext, candidacy: Candidacy): void {
  if (context.now - candidacy.confirmedAt > LEADERSHIP_VALIDITY / 2) {
    dropCandidacy(context, 'the store did not answer in time');
  } else if (candidacy.phase === 'claimingTable' && context.now >= candidacy.nextAttemptAt) {
    writeTableClaim(context, candidacy);
  }
}

/** Ends the candidacy, if there is one. */
export function dropCandidacy(context: RouterContext, reason: string): void {
  const { election } = context.state;
  if (election.candidacy !== null) {
    context.log('candidacy_dropped', { term: election.candidacy.claim.term, reason });
    election.candidacy = null;
    election.nextLeaderReadAt = context.now + election.jitter;
    election.leaderReadInFlight = false;
  }
}

/** Handles the outcome of the write that claims the leader record. */
export function receiveClaimWritten(context: RouterContext, event: ObjectWrittenEvent): void {
  const { candidacy } = context.state.election;
  if (candidacy?.phase !== 'claiming') {
    return;
  }
  const { outcome } = event;
  if (outcome.kind === 'written') {
    continueWithTable(
      context,
      candidacy.claim,
      outcome.revision,
      event.sentAt,
      candidacy.hasPredecessorEnded,
    );
    return;
  }
  if (outcome.kind === 'conflict') {
    const record = parseLeaderRecord(outcome.value);
    if (record?.life === context.state.identity.life) {
      continueWithTable(context, record, outcome.revision, event.sentAt, candidacy.hasPredecessorEnded);
      return;
    }
    dropCandidacy(context, 'another daemon was first');
    if (record !== null) {
      recordLeader(context, record, outcome.revision);
    }
    return;
  }
  dropCandidacy(context, `the write of the leader record ended as ${outcome.kind}: ${outcome.reason}`);
}

/** Continues a candidacy with the table, after the leader record names this daemon. */
export function continueWithTable(
  context: RouterContext,
  claim: LeaderRecord,
  revision: number,
  confirmedAt: Milliseconds,
  predecessorEnded: boolean,
): void {
  const { election, stopping } = context.state;
  if (stopping) {
    dropCandidacy(context, 'a planned stop is under way');
    return;
  }
  const formerSeenAt = election.candidacy?.formerRevisionSeenAt ?? context.now;
  const former = election.candidacy?.former ?? null;
  election.leader = claim;
  election.leaderRevision = revision;
  election.candidacy = {
    ...TABLE_NOT_READ,
    phase: 'readingTable',
    claim,
    revision,
    confirmedAt,
    hasPredecessorEnded: predecessorEnded,
    formerRevisionSeenAt: formerSeenAt,
    former,
  };
  connectToParent(context, null);
  context.emit({ kind: 'readObject', object: 'ownership' });
}

/** Claims the table that was read, by writing it with the term of this daemon. */
export function claimTable(
  context: RouterContext,
  candidacy: Candidacy,
  event: ObjectReadEvent,
  found: OwnershipTable,
): void {
  const { outcome } = event;
  if (outcome.kind === 'failed') {
    dropCandidacy(context, `the table could not be read: ${outcome.reason}`);
    return;
  }
  if (found.term > candidacy.claim.term) {
    context.state.election.highestStoredTerm = found.term;
    dropCandidacy(context, `the table is of term ${found.term}`);
    return;
  }
  candidacy.phase = 'claimingTable';
  candidacy.table = { ...found, term: candidacy.claim.term };
  candidacy.tableRevision = outcome.kind === 'found' ? outcome.revision : null;
  writeTableClaim(context, candidacy);
}

function tableClaimId(context: RouterContext, candidacy: Candidacy): string {
  return `${context.state.identity.life}-claim-${candidacy.claim.term}`;
}

function writeTableClaim(context: RouterContext, candidacy: Candidacy): void {
  candidacy.nextAttemptAt = Number.POSITIVE_INFINITY;
  const value: OwnershipRecord = { writeId: tableClaimId(context, candidacy), table: candidacy.table };
  context.emit({ kind: 'writeObject', object: 'ownership', value, revision: candidacy.tableRevision });
}

/** Handles the outcome of the write that claims the table. */
export function receiveTableClaimed(context: RouterContext, event: ObjectWrittenEvent): void {
  const { candidacy } = context.state.election;
  if (candidacy?.phase !== 'claimingTable') {
    return;
  }
  const { outcome } = event;
  if (outcome.kind === 'written') {
    beginLeadership(context, candidacy, candidacy.table, outcome.revision);
    return;
  }
  if (outcome.kind !== 'conflict') {
    // All attempts write the same content on the same revision: if one succeeds, the others find its write
    // id.
    candidacy.nextAttemptAt = context.now + CLAIM_RETRY_DELAY;
    return;
  }
  const record = readOwnershipRecord(outcome.value);
  if (record.writeId === tableClaimId(context, candidacy)) {
    beginLeadership(context, candidacy, record.table, outcome.revision);
    return;
  }
  // The previous leader wrote a newer table in the meantime, which must be claimed instead.
  candidacy.phase = 'readingTable';
  context.emit({ kind: 'readObject', object: 'ownership' });
}
