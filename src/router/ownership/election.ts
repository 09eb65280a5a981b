/**
 * Looks after the leader. A daemon that hears no heartbeat of it watches the leader's object in the store; when the leader
 * has not confirmed itself there either, it claims that object (candidacy.ts).
 */
import type { ObjectReadEvent, ParentLinkClosedEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { hasRelayParent } from '../tree/tree-state.js';
import { claimTable, considerClaim, enterTable, tickCandidacy } from './candidacy.js';
import { noteLeader } from './known-leader.js';
import { viewSequence } from './ownership-statement.js';
import { ELECTION_READ_INTERVAL, HEARTBEAT_PATIENCE, TAKEOVER_PATIENCE } from './ownership-timing.js';
import { EMPTY_TABLE, type OwnershipTable } from './ownership-table.js';
import { OwnershipView } from './ownership-view.js';
import { parseLeader, parseOwnership } from './stored-objects.js';

/** A leader that heartbeats but has not confirmed itself for this long is watched in the store. */
const CONFIRMATION_SUSPICION: Milliseconds = 3_000;
/** The same for a daemon that follows the store itself: a confirmation and a half of a prompt store. */
const WATCHER_SUSPICION: Milliseconds = 1_800;
const LONGEST_JITTER: Milliseconds = 150;
/** Refused connections after which the leader's process counts as gone. */
const REFUSALS = 3;
/** A daemon that has just started most likely does so with others: one refused connection is enough. */
const FRESH_PERIOD: Milliseconds = 2_000;
const REFUSALS_WHEN_FRESH = 1;
/** Without a leader for this long a daemon reads the table: the next leader tells it otherwise. */
const TABLE_PATIENCE: Milliseconds = 800;
/** Without news of the leader, a follower reads the table this often. */
const TABLE_READ_INTERVAL: Milliseconds = 1_000;

/** Below a relay that is heard, the leader may be silent for this long: the relay looks for the next one. */
const RELAYED_PATIENCE: Milliseconds = 3_000;
/** The table is not read this soon after the first start of a deployment: a parent sends its view within a few ms. */
const FIRST_TABLE_READ: Milliseconds = 500;
/** Daemons below relays poll the store less often the more daemons there are: an interval for so many, up to the most. */
const DAEMONS_PER_INTERVAL = 30;
const MOST_INTERVALS = 6;
/** A read that fails is repeated after ever longer, up to this: the first of many daemons to succeed tells others. */
const READ_GROWTH = 1.5;
const LONGEST_READ_INTERVAL: Milliseconds = 1_000;
/** A machine with this power (in cores) bears the leadership; weaker ones let others claim it first for up to this long. */
const SUFFICIENT_POWER = 0.5;
const LONGEST_HANDICAP: Milliseconds = 200;

/** Those that follow the store beside the leader look first: the others need not ask when these take over. */
function suspicionOf({ tree, identity }: RouterState): Milliseconds {
  return tree.watchers.includes(identity.daemon) ? WATCHER_SUSPICION : CONFIRMATION_SUSPICION;
}

function hearsLeader({ state, now }: RouterContext): boolean {
  const { election, tree } = state;
  if (now < tree.leaderGraceUntil) {
    return true;
  }
  const relayIsHeard =
    hasRelayParent(tree, state.election.leader?.address) &&
    now - tree.lastParentContactAt <= HEARTBEAT_PATIENCE;
  const patience = relayIsHeard ? RELAYED_PATIENCE : HEARTBEAT_PATIENCE;
  const silent = now - election.lastHeartbeatAt > patience;
  // A relay that is heard watches the leader's confirmations itself.
  return !silent && (relayIsHeard || election.confirmationAge < suspicionOf(state));
}

/** How many times as long as a child of the leader this daemon waits between two looks into the store. */
function pollingFactor({ tree, daemons }: RouterState): number {
  return tree.wasRedirected ? Math.min(MOST_INTERVALS, Math.max(1, daemons / DAEMONS_PER_INTERVAL)) : 1;
}

/** Until the next read of the leader's object: a store that refuses is asked ever more seldom, since that is paid for. */
function readInterval(state: RouterState): Milliseconds {
  const interval = ELECTION_READ_INTERVAL * READ_GROWTH ** state.election.failedReads;
  return Math.min(LONGEST_READ_INTERVAL, interval) * pollingFactor(state);
}

/** How long this daemon lets stronger ones claim the leadership first. */
function handicapOf({ bounds }: RouterState): Milliseconds {
  return LONGEST_HANDICAP * Math.max(0, 1 - bounds.processorPower / SUFFICIENT_POWER);
}

/** Refused connections that this daemon waits for now. */
function refusalsNeeded(context: RouterContext): number {
  const isFresh = context.now - context.state.election.startedAt < FRESH_PERIOD;
  return isFresh ? REFUSALS_WHEN_FRESH : REFUSALS;
}

/** A daemon that does not lead looks after the leader. */
export function tickElection(context: RouterContext): void {
  const { state, now } = context;
  const { election } = state;
  if (election.startedAt < 0) {
    election.startedAt = now;
    election.jitter = state.random.fraction() * LONGEST_JITTER;
    election.nextReadAt = now + election.jitter;
    election.nextTableReadAt = now + (state.identity.isFirstStart === true ? FIRST_TABLE_READ : 0);
  }
  if (election.candidacy !== null) {
    tickCandidacy(context, election.candidacy);
    return;
  }
  if (hearsLeader(context)) {
    // Once it is not heard any more, daemons read one after the other: the first ones to know tell the others.
    election.nextReadAt = now + election.jitter;
    election.nextTableReadAt = now + TABLE_PATIENCE;
    return;
  }
  if (!election.reading && now >= election.nextReadAt) {
    election.reading = true;
    election.nextReadAt = now + readInterval(state);
    context.emit({ kind: 'readObject', object: 'leader' });
  }
  readTableAlone(context);
}

/** A follower that is cut off from the leader takes ownership from the store. */
function readTableAlone(context: RouterContext): void {
  const { election } = context.state;
  if (!election.readingTable && election.failedReads === 0 && context.now >= election.nextTableReadAt) {
    election.readingTable = true;
    election.nextTableReadAt = context.now + TABLE_READ_INTERVAL * pollingFactor(context.state);
    context.emit({ kind: 'readObject', object: 'ownership' });
  }
}

/** Nobody has ever led: the first to claim does, and stronger machines are let go first. */
function claimFirst(context: RouterContext): void {
  const { state, now } = context;
  const mayClaimAt = state.election.startedAt + handicapOf(state);
  if (now < mayClaimAt) {
    state.election.nextReadAt = mayClaimAt;
  } else {
    considerClaim(context, null, 0);
  }
}

/** The leader's object was read by a daemon that does not lead. */
export function receiveLeaderObject(context: RouterContext, event: ObjectReadEvent): void {
  const { state, now } = context;
  const { election } = state;
  election.reading = false;
  if (event.outcome.kind === 'failed') {
    election.failedReads += 1;
    return;
  }
  election.failedReads = 0;
  state.isolation.storeAnsweredAt = now;
  if (event.outcome.kind === 'absent') {
    claimFirst(context);
    return;
  }
  const record = parseLeader(event.outcome.value);
  const { revision } = event.outcome;
  if (record === null) {
    state.counters.malformed_store_objects += 1;
    considerClaim(context, null, revision);
    return;
  }
  if (record.life === state.identity.life) {
    // A record of its own that it has resigned by is no leadership to take up again.
    if (!record.resigned) {
      enterTable(context, record, revision, event.sentAt, false);
    }
    return;
  }
  noteLeader(context, record, revision);
  const patience = TAKEOVER_PATIENCE + election.jitter + handicapOf(state);
  const unconfirmed = event.sentAt - election.unchangedSince >= patience;
  const wasThisDaemon = record.daemon === state.identity.daemon;
  const gone = election.leaderRefused >= refusalsNeeded(context);
  if (!hearsLeader(context) && (unconfirmed || wasThisDaemon || gone || record.resigned)) {
    considerClaim(context, record, revision);
  } else if (now >= election.nextReadAt) {
    election.nextReadAt = now + readInterval(state);
  }
}

/** The ownership object was read by a daemon that does not lead yet. */
export function receiveOwnershipObject(context: RouterContext, event: ObjectReadEvent): void {
  const { state } = context;
  const { election } = state;
  election.readingTable = false;
  const { outcome } = event;
  const record = outcome.kind === 'found' ? parseOwnership(outcome.value) : null;
  if (outcome.kind === 'found' && record === null) {
    state.counters.malformed_store_objects += 1;
  }
  if (election.candidacy?.phase === 'readingTable') {
    claimTable(context, election.candidacy, event, record?.table ?? EMPTY_TABLE);
  } else if (outcome.kind === 'found' && record !== null) {
    adoptStoredView(context, record.table, outcome.revision);
  }
}

function adoptStoredView(context: RouterContext, table: OwnershipTable, revision: number): void {
  const { state } = context;
  const units = table.units.map((unit) => ({ ...unit, granted: true }));
  const view = new OwnershipView(table.term, viewSequence(revision, 0), units);
  if (view.isNewerThan(state.view)) {
    state.view = view;
    context.log('ownership_read', { term: table.term, revision, units: units.length });
  }
}

/** The connection to the parent ended; whether it was the leader is seen by the address. */
export function noteLeaderUnreachable(context: RouterContext, event: ParentLinkClosedEvent): void {
  const { election } = context.state;
  if (event.address !== election.leader?.address) {
    return;
  }
  election.leaderRefused = event.refused ? election.leaderRefused + 1 : 0;
  if (event.refused && election.leaderRefused >= refusalsNeeded(context)) {
    election.nextReadAt = Math.min(election.nextReadAt, context.now + election.jitter);
    election.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  }
}
