/**
 * How a daemon becomes the leader: it claims the leader record by compare-and-swap, reads the ownership
 * table, and claims the table in the same way. It leads only after both claims have succeeded.
 */
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import { follow } from '../tree/parent.js';
import { beginLeadership } from './begin-leadership.js';
import type { Candidacy } from './election-state.js';
import { noteLeader } from './known-leader.js';
import { EMPTY_TABLE, type OwnershipTable } from './ownership-table.js';
import { CONFIRMATION_VALIDITY } from './ownership-timing.js';
import { parseLeader, parseOwnership, type LeaderRecord, type OwnershipRecord } from './stored-objects.js';

/** Delay before the retry of a candidacy step without an answer. */
const STEP_RETRY: Milliseconds = 250;
/** Fields of a candidacy before the table has been read. */
const NOTHING_READ = {
  table: EMPTY_TABLE,
  tableRevision: null,
  stepAt: Number.POSITIVE_INFINITY,
} as const;

/** Claims the leader record, unless this daemon is stopping or has a candidacy already. */
export function considerClaim(context: RouterContext, former: LeaderRecord | null, revision: number): void {
  const { state, now } = context;
  if (state.stopping || state.election.candidacy !== null) {
    return;
  }
  const { daemon, life, peerAddress } = state.identity;
  const term = (former?.term ?? 0) + 1;
  const claim = { term, daemon, life, address: peerAddress, beat: 0, settled: false, resigned: false };
  // This daemon's earlier incarnation has ended, and no leader before that one can still act.
  const predecessorEnded = former?.daemon === daemon && former.settled;
  const formerStopped = former?.resigned === true && former.settled;
  const formerSeenAt = formerStopped ? now - CONFIRMATION_VALIDITY : state.election.unchangedSince;
  state.election.candidacy = {
    ...NOTHING_READ,
    phase: 'claiming',
    claim,
    revision,
    confirmedAt: now,
    predecessorEnded,
    formerSeenAt,
    former,
  };
  context.log('leadership_claimed', { term: claim.term, former: former?.daemon ?? null, revision });
  writeClaim(context, state.election.candidacy);
}

function writeClaim(context: RouterContext, candidacy: Candidacy): void {
  const revision = candidacy.revision === 0 ? null : candidacy.revision;
  context.emit({ kind: 'writeObject', object: 'leader', value: candidacy.claim, revision });
}

/** Retries a step without an answer, and ends a candidacy that takes too long. */
export function tickCandidacy(context: RouterContext, candidacy: Candidacy): void {
  if (context.now - candidacy.confirmedAt > CONFIRMATION_VALIDITY / 2) {
    dropCandidacy(context, 'the store did not answer in time');
  } else if (candidacy.phase === 'claimingTable' && context.now >= candidacy.stepAt) {
    writeTableClaim(context, candidacy);
  }
}

/** Ends the candidacy, if there is one. */
export function dropCandidacy(context: RouterContext, reason: string): void {
  const { election } = context.state;
  if (election.candidacy !== null) {
    context.log('candidacy_dropped', { term: election.candidacy.claim.term, reason });
    election.candidacy = null;
    election.nextReadAt = context.now + election.jitter;
    election.reading = false;
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
    enterTable(context, candidacy.claim, outcome.revision, event.sentAt, candidacy.predecessorEnded);
    return;
  }
  if (outcome.kind === 'conflict') {
    const record = parseLeader(outcome.value);
    if (record?.life === context.state.identity.life) {
      enterTable(context, record, outcome.revision, event.sentAt, candidacy.predecessorEnded);
      return;
    }
    dropCandidacy(context, 'another daemon was first');
    if (record !== null) {
      noteLeader(context, record, outcome.revision);
    }
    return;
  }
  dropCandidacy(context, `the write of the leader record ended as ${outcome.kind}: ${outcome.reason}`);
}

/** Continues a candidacy with the table, after the leader record names this daemon. */
export function enterTable(
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
  const formerSeenAt = election.candidacy?.formerSeenAt ?? context.now;
  const former = election.candidacy?.former ?? null;
  election.leader = claim;
  election.leaderRevision = revision;
  election.candidacy = {
    ...NOTHING_READ,
    phase: 'readingTable',
    claim,
    revision,
    confirmedAt,
    predecessorEnded,
    formerSeenAt,
    former,
  };
  follow(context, null);
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
  candidacy.stepAt = Number.POSITIVE_INFINITY;
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
    candidacy.stepAt = context.now + STEP_RETRY;
    return;
  }
  const record = parseOwnership(outcome.value);
  if (record?.writeId === tableClaimId(context, candidacy)) {
    beginLeadership(context, candidacy, record.table, outcome.revision);
    return;
  }
  // The previous leader wrote a newer table in the meantime, which must be claimed instead.
  candidacy.phase = 'readingTable';
  context.emit({ kind: 'readObject', object: 'ownership' });
}
