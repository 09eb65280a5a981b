/**
 * Monitors the leader. A daemon that receives no heartbeat reads the leader record in the store; if the
 * leader has not confirmed its leadership there either, the daemon claims that record (candidacy.ts).
 */
import type { ObjectReadEvent, ParentLinkClosedEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { isRelayed } from '../tree/tree-state.js';
import { claimTable, considerClaim, enterTable, tickCandidacy } from './candidacy.js';
import { noteLeader } from './known-leader.js';
import { viewSequence } from './ownership-statement.js';
import { ELECTION_READ_INTERVAL, HEARTBEAT_PATIENCE, TAKEOVER_PATIENCE } from './ownership-timing.js';
import { EMPTY_TABLE, type OwnershipTable } from './ownership-table.js';
import { OwnershipView } from './ownership-view.js';
import { parseLeader, parseOwnership } from './stored-objects.js';

/** The leader record is read from the store when heartbeats report a confirmation older than this. */
const CONFIRMATION_SUSPICION: Milliseconds = 3_000;
/**
 * The same limit for a daemon that polls the store itself: one and a half confirmations while the store
 * answers promptly.
 */
const WATCHER_SUSPICION: Milliseconds = 1_800;
const LONGEST_JITTER: Milliseconds = 150;
/** Consecutive refused connections after which the process of the leader counts as ended. */
const REFUSALS = 3;
/**
 * A daemon that has just started most likely did so together with others, so one refused connection is enough
 * in this period.
 */
const FRESH_PERIOD: Milliseconds = 2_000;
const REFUSALS_WHEN_FRESH = 1;
/**
 * A daemon without a leader reads the ownership table from the store only after this long, since the next
 * leader usually sends it earlier.
 */
const TABLE_PATIENCE: Milliseconds = 800;
/** Interval at which a follower without updates from the leader reads the ownership table. */
const TABLE_READ_INTERVAL: Milliseconds = 1_000;

/**
 * Heartbeat timeout of the leader for a daemon that still receives heartbeats from a relay: the relay looks
 * for the next leader.
 */
const RELAYED_PATIENCE: Milliseconds = 3_000;
/**
 * Delay of the first table read after the first start of a deployment, since a parent sends its view within a
 * few milliseconds.
 */
const FIRST_TABLE_READ: Milliseconds = 500;
/**
 * Daemons below relays poll the store less often the more daemons there are: the interval is multiplied by
 * the number of daemons divided by DAEMONS_PER_POLL_INTERVAL, up to MAX_POLLING_FACTOR.
 */
const DAEMONS_PER_INTERVAL = 30;
const MOST_INTERVALS = 6;
/**
 * The interval between failed reads grows by this factor, up to MAX_READ_INTERVAL. Of many daemons, the first
 * one whose read succeeds informs the others.
 */
const READ_GROWTH = 1.5;
const LONGEST_READ_INTERVAL: Milliseconds = 1_000;
/**
 * A machine with at least this processor power (in cores) can carry the leadership; weaker ones delay their
 * claim by up to MAX_CLAIM_DELAY.
 */
const SUFFICIENT_POWER = 0.5;
const LONGEST_HANDICAP: Milliseconds = 200;

/**
 * Returns the age from which the confirmation of the leader is checked in the store. Daemons that poll the
 * store beside the leader check first, so that the others need not ask when one of them takes over.
 */
function maxConfirmationAgeOf({ tree, identity }: RouterState): Milliseconds {
  return tree.watchers.includes(identity.daemon) ? WATCHER_SUSPICION : CONFIRMATION_SUSPICION;
}

function isLeaderResponsive({ state, now }: RouterContext): boolean {
  const { election, tree } = state;
  if (now < tree.leaderGraceUntil) {
    return true;
  }
  const isRelayResponsive =
    isRelayed(tree, state.election.leader?.address) && now - tree.parentHeardAt <= HEARTBEAT_PATIENCE;
  const timeout = isRelayResponsive ? RELAYED_PATIENCE : HEARTBEAT_PATIENCE;
  const isOverdue = now - election.lastHeartbeatAt > timeout;
  // A relay that sends heartbeats checks the confirmations of the leader itself.
  return !isOverdue && (isRelayResponsive || election.confirmationAge < maxConfirmationAgeOf(state));
}

/** Returns the ratio of this daemon's polling interval to that of a child of the leader. */
function pollingFactor({ tree, daemons }: RouterState): number {
  return tree.wasRelayed ? Math.min(MOST_INTERVALS, Math.max(1, daemons / DAEMONS_PER_INTERVAL)) : 1;
}

/**
 * Returns the interval until the next read of the leader record. The interval grows while the store refuses
 * requests, since refused requests are paid for, too.
 */
function readInterval(state: RouterState): Milliseconds {
  const interval = ELECTION_READ_INTERVAL * READ_GROWTH ** state.election.failedReads;
  return Math.min(LONGEST_READ_INTERVAL, interval) * pollingFactor(state);
}

/**
 * Returns how long this daemon delays its claim, so that more powerful machines can claim the leadership
 * first.
 */
function claimDelayOf({ bounds }: RouterState): Milliseconds {
  return LONGEST_HANDICAP * Math.max(0, 1 - bounds.processorPower / SUFFICIENT_POWER);
}

/**
 * Returns the number of refused connections after which the process of the leader currently counts as ended.
 */
function refusalLimit(context: RouterContext): number {
  const hasJustStarted = context.now - context.state.election.startedAt < FRESH_PERIOD;
  return hasJustStarted ? REFUSALS_WHEN_FRESH : REFUSALS;
}

/** Monitors the leader on a daemon that does not lead. */
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
  if (isLeaderResponsive(context)) {
    // After the last heartbeat, the jitter makes daemons read one after the other, so that the first ones can
    // inform the others.
    election.nextReadAt = now + election.jitter;
    election.nextTableReadAt = now + TABLE_PATIENCE;
    return;
  }
  if (!election.reading && now >= election.nextReadAt) {
    election.reading = true;
    election.nextReadAt = now + readInterval(state);
    context.emit({ kind: 'readObject', object: 'leader' });
  }
  readTableFromStore(context);
}

/** Reads the ownership table from the store on a follower that is cut off from the leader. */
function readTableFromStore(context: RouterContext): void {
  const { election } = context.state;
  if (!election.readingTable && election.failedReads === 0 && context.now >= election.nextTableReadAt) {
    election.readingTable = true;
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
    state.election.nextReadAt = mayClaimAt;
  } else {
    considerClaim(context, null, 0);
  }
}

/** Handles a read of the leader record by a daemon that does not lead. */
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
    claimInitialLeadership(context);
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
    // A record of this daemon itself resumes its leadership, unless the daemon resigned with it.
    if (!record.resigned) {
      enterTable(context, record, revision, event.sentAt, false);
    }
    return;
  }
  noteLeader(context, record, revision);
  const takeoverTimeout = TAKEOVER_PATIENCE + election.jitter + claimDelayOf(state);
  const unconfirmed = event.sentAt - election.unchangedSince >= takeoverTimeout;
  const wasThisDaemon = record.daemon === state.identity.daemon;
  const hasEnded = election.leaderRefused >= refusalLimit(context);
  if (!isLeaderResponsive(context) && (unconfirmed || wasThisDaemon || hasEnded || record.resigned)) {
    considerClaim(context, record, revision);
  } else if (now >= election.nextReadAt) {
    election.nextReadAt = now + readInterval(state);
  }
}

/** Handles a read of the ownership record by a daemon that does not lead yet. */
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

/**
 * Handles the end of the connection to the parent. The parent is the leader if it has the address of the
 * leader.
 */
export function noteLeaderUnreachable(context: RouterContext, event: ParentLinkClosedEvent): void {
  const { election } = context.state;
  if (event.address !== election.leader?.address) {
    return;
  }
  election.leaderRefused = event.refused ? election.leaderRefused + 1 : 0;
  if (event.refused && election.leaderRefused >= refusalLimit(context)) {
    election.nextReadAt = Math.min(election.nextReadAt, context.now + election.jitter);
    election.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  }
}
