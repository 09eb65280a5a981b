/**
 * Monitors the leader. A daemon that receives no heartbeat reads the leader record in the store; if the
 * leader has not confirmed its leadership there either, the daemon claims that record (candidacy.ts).
 */
import type { ObjectReadEvent, ParentLinkClosedEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { hasRelayParent } from '../tree/tree-state.js';
import { claimDelayOf, claimDueAt, hasLeaderEnded, isClaimDue, refusalLimit } from './claim-order.js';
import { claimTable, startCandidacy, continueWithTable, tickCandidacy } from './candidacy.js';
import { recordLeader } from './known-leader.js';
import { proveKeyedPaths } from './path-handover.js';
import { viewSequence } from './ownership-broadcast.js';
import { LEADER_RECORD_READ_INTERVAL, HEARTBEAT_TIMEOUT, TAKEOVER_TIMEOUT } from './ownership-timing.js';
import { EMPTY_TABLE, type OwnershipTable } from './ownership-table.js';
import { OwnershipView } from './ownership-view.js';
import { type LeaderRecord, parseLeaderRecord, parseTerm } from './stored-objects.js';
import { readOwnershipRecord, type ReadOwnershipRecord } from './stored-table.js';

/** The leader record is read from the store when heartbeats report a confirmation older than this. */
const MAX_CONFIRMATION_AGE: Milliseconds = 3_000;
/**
 * The same limit for a daemon that polls the store itself: one and a half confirmations while the store
 * answers promptly.
 */
const MAX_CONFIRMATION_AGE_FOR_WATCHERS: Milliseconds = 1_800;
const MAX_JITTER: Milliseconds = 150;
/**
 * A daemon without a leader reads the ownership table from the store only after this long, since the next
 * leader usually sends it earlier.
 */
const TABLE_READ_DELAY: Milliseconds = 800;
/** Interval at which a follower without updates from the leader reads the ownership table. */
const TABLE_READ_INTERVAL: Milliseconds = 1_000;

/**
 * Heartbeat timeout of the leader for a daemon that still receives heartbeats from a relay: the relay looks
 * for the next leader.
 */
const RELAYED_HEARTBEAT_TIMEOUT: Milliseconds = 3_000;
/**
 * Delay of the first table read after the first start of a deployment, since a parent sends its view within a
 * few milliseconds.
 */
const FIRST_TABLE_READ_DELAY: Milliseconds = 500;
/**
 * Daemons below relays poll the store less often the more daemons there are: the interval is multiplied by
 * the number of daemons divided by DAEMONS_PER_POLL_INTERVAL, up to MAX_POLLING_FACTOR.
 */
const DAEMONS_PER_POLL_INTERVAL = 30;
const MAX_POLLING_FACTOR = 6;
/**
 * The interval between failed reads grows by this factor, up to MAX_READ_INTERVAL. Of many daemons, the first
 * one whose read succeeds informs the others.
 */
const READ_BACKOFF_FACTOR = 1.5;
const MAX_READ_INTERVAL: Milliseconds = 1_000;
/**
 * Returns the age from which the confirmation of the leader is checked in the store. Daemons that poll the
 * store beside the leader check first, so that the others need not ask when one of them takes over.
 */
function maxConfirmationAgeOf({ tree, identity }: RouterState): Milliseconds {
  return tree.watchers.includes(identity.daemon) ? MAX_CONFIRMATION_AGE_FOR_WATCHERS : MAX_CONFIRMATION_AGE;
}

function isLeaderResponsive({ state, now }: RouterContext): boolean {
  const { election, tree } = state;
  if (now < tree.leaderGraceUntil) {
    return true;
  }
  const isRelayResponsive =
    hasRelayParent(tree, state.election.leader?.address) &&
    now - tree.lastParentContactAt <= HEARTBEAT_TIMEOUT;
  const timeout = isRelayResponsive ? RELAYED_HEARTBEAT_TIMEOUT : HEARTBEAT_TIMEOUT;
  const isOverdue = now - election.lastHeartbeatAt > timeout;
  // A relay that sends heartbeats checks the confirmations of the leader itself.
  return !isOverdue && (isRelayResponsive || election.confirmationAge < maxConfirmationAgeOf(state));
}

/** Returns the ratio of this daemon's polling interval to that of a child of the leader. */
function pollingFactor({ tree, daemons }: RouterState): number {
  return tree.wasRedirected
    ? Math.min(MAX_POLLING_FACTOR, Math.max(1, daemons / DAEMONS_PER_POLL_INTERVAL))
    : 1;
}

/**
 * Returns the interval until the next read of the leader record. The interval grows while the store refuses
 * requests, since refused requests are paid for, too.
 */
function readInterval(state: RouterState): Milliseconds {
  const interval = LEADER_RECORD_READ_INTERVAL * READ_BACKOFF_FACTOR ** state.election.failedLeaderReads;
  return Math.min(MAX_READ_INTERVAL, interval) * pollingFactor(state);
}

/** Monitors the leader on a daemon that does not lead. */
export function tickElection(context: RouterContext): void {
  const { state, now } = context;
  const { election } = state;
  if (election.startedAt < 0) {
    election.startedAt = now;
    election.jitter = state.random.fraction() * MAX_JITTER;
    election.nextLeaderReadAt = now + election.jitter;
    election.nextTableReadAt = now + (state.identity.isFirstStart === true ? FIRST_TABLE_READ_DELAY : 0);
  }
  if (election.candidacy !== null) {
    tickCandidacy(context, election.candidacy);
    return;
  }
  if (isLeaderResponsive(context)) {
    election.leaderlessSince = now;
    // After the last heartbeat, the jitter makes daemons read one after the other, so that the first ones can
    // inform the others.
    election.nextLeaderReadAt = now + election.jitter;
    election.nextTableReadAt = now + TABLE_READ_DELAY;
    return;
  }
  if (!election.leaderReadInFlight && now >= election.nextLeaderReadAt) {
    election.leaderReadInFlight = true;
    election.nextLeaderReadAt = now + readInterval(state);
    proveKeyedPaths(context);
    context.emit({ kind: 'readObject', object: 'leader' });
  }
  readTableFromStore(context);
}

/** Reads the ownership table from the store on a follower that is cut off from the leader. */
function readTableFromStore(context: RouterContext): void {
  const { election } = context.state;
  if (
    !election.tableReadInFlight &&
    election.failedLeaderReads === 0 &&
    context.now >= election.nextTableReadAt
  ) {
    election.tableReadInFlight = true;
    election.nextTableReadAt = context.now + TABLE_READ_INTERVAL * pollingFactor(context.state);
    context.emit({ kind: 'readObject', object: 'ownership' });
  }
}

/**
 * Claims the leadership when no daemon has ever led. The delay lets more powerful machines claim it first.
 */
function claimInitialLeadership(context: RouterContext): void {
  const { state, now } = context;
  const mayClaimAt = state.election.startedAt + claimDelayOf(state);
  if (now < mayClaimAt) {
    state.election.nextLeaderReadAt = mayClaimAt;
  } else {
    startCandidacy(context, null, 0);
  }
}

/** Handles a record that names this daemon: it resumes its leadership, unless it has resigned. */
function receiveOwnRecord(
  context: RouterContext,
  record: LeaderRecord,
  revision: number,
  readAt: Milliseconds,
): void {
  const { election } = context.state;
  const hasResigned = record.resigned || election.resignedTerm === record.term;
  if (!hasResigned && record.term < election.highestStoredTerm) {
    startCandidacy(context, record, revision);
  } else if (!hasResigned) {
    continueWithTable(context, record, revision, readAt, false);
  } else if (isClaimDue(context, record)) {
    startCandidacy(context, record, revision);
  } else if (!record.resigned) {
    // The write by which it resigned has failed.
    context.emit({ kind: 'writeObject', object: 'leader', value: { ...record, resigned: true }, revision });
  }
}

/**
 * Handles a record that can't be read: another one than a daemon must have written it. A leader that it has replaced has confirmed its
 * leadership no later than now.
 */
function receiveMalformedLeaderRecord(context: RouterContext, value: unknown, revision: number): void {
  const { state, now } = context;
  const { election } = state;
  state.counters.malformed_store_objects += 1;
  if (revision !== election.leaderRevision) {
    election.leaderRevision = revision;
    election.leaderRevisionSeenAt = now;
    context.log('malformed_leader_record', { revision }, 'warn');
  }
  election.highestStoredTerm = Math.max(election.highestStoredTerm, parseTerm(value));
  if (!isLeaderResponsive(context)) {
    startCandidacy(context, null, revision);
  }
}

/** Handles a read of the leader record by a daemon that does not lead. */
export function receiveLeaderRecord(context: RouterContext, event: ObjectReadEvent): void {
  const { state, now } = context;
  const { election } = state;
  election.leaderReadInFlight = false;
  if (event.outcome.kind === 'failed') {
    election.failedLeaderReads += 1;
    return;
  }
  election.failedLeaderReads = 0;
  state.isolation.storeAnsweredAt = now;
  if (event.outcome.kind === 'absent') {
    claimInitialLeadership(context);
    return;
  }
  const record = parseLeaderRecord(event.outcome.value);
  const { revision } = event.outcome;
  if (record === null) {
    receiveMalformedLeaderRecord(context, event.outcome.value, revision);
    return;
  }
  if (record.life === state.identity.life) {
    receiveOwnRecord(context, record, revision, event.sentAt);
    return;
  }
  recordLeader(context, record, revision);
  const takeoverTimeout = TAKEOVER_TIMEOUT + election.jitter + claimDelayOf(state);
  const unconfirmed = event.sentAt - election.leaderRevisionSeenAt >= takeoverTimeout;
  const wasThisDaemon = record.daemon === state.identity.daemon;
  const isFree = unconfirmed || wasThisDaemon || hasLeaderEnded(context) || record.resigned;
  if (!isLeaderResponsive(context) && isFree && isClaimDue(context, record)) {
    startCandidacy(context, record, revision);
  } else if (isFree && !isClaimDue(context, record)) {
    election.nextLeaderReadAt = Math.min(now + readInterval(state), claimDueAt(context, record));
  } else if (now >= election.nextLeaderReadAt) {
    election.nextLeaderReadAt = now + readInterval(state);
  }
}

/** Handles a read of the ownership record by a daemon that does not lead yet. */
export function receiveOwnershipRecord(context: RouterContext, event: ObjectReadEvent): void {
  const { state } = context;
  const { election } = state;
  election.tableReadInFlight = false;
  const { outcome } = event;
  const record = outcome.kind === 'found' ? readOwnershipRecord(outcome.value) : null;
  if (record !== null && record.malformedParts > 0) {
    state.counters.malformed_store_objects += 1;
    const { term, units, isIncomplete } = record.table;
    const fields = {
      term,
      parts: record.malformedParts,
      units: units.length,
      incomplete: isIncomplete === true,
    };
    context.log('malformed_ownership_table', fields, 'warn');
  }
  if (election.candidacy?.phase === 'readingTable') {
    const table = record === null ? EMPTY_TABLE : withFencesAboveView(state, record);
    claimTable(context, election.candidacy, event, table);
  } else if (outcome.kind === 'found' && record !== null) {
    adoptStoredView(context, record.table, outcome.revision);
  }
}

/** Returns a table whose next fences are above those that this daemon knows, in case the highest ones could not be read. */
function withFencesAboveView(
  { ownershipView }: RouterState,
  { table, malformedParts }: ReadOwnershipRecord,
): OwnershipTable {
  if (malformedParts === 0) {
    return table;
  }
  const known = ownershipView.units.reduce((highest, { fence }) => Math.max(highest, fence), 0);
  return { ...table, nextFence: Math.max(table.nextFence, known + 1) };
}

function adoptStoredView(context: RouterContext, table: OwnershipTable, revision: number): void {
  const { state } = context;
  const units = table.units.map((unit) => ({ ...unit, granted: true }));
  const view = new OwnershipView(table.term, viewSequence(revision, 0), units);
  if (view.isNewerThan(state.ownershipView)) {
    state.ownershipView = view;
    context.log('ownership_read', { term: table.term, revision, units: units.length });
  }
}

/**
 * Handles the end of the connection to the parent. The parent is the leader if it has the address of the
 * leader.
 */
export function recordLeaderConnectionClosed(context: RouterContext, event: ParentLinkClosedEvent): void {
  const { election } = context.state;
  if (event.address !== election.leader?.address) {
    return;
  }
  election.leaderRefusals = event.refused ? election.leaderRefusals + 1 : 0;
  if (event.refused && election.leaderRefusals >= refusalLimit(context)) {
    election.nextLeaderReadAt = Math.min(election.nextLeaderReadAt, context.now + election.jitter);
    election.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  }
}
