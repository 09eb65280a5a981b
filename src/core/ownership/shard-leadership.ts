/**
 * Leader of a control shard: grants and revokes units, reassigns the units of lost servers, drains servers
 * and rebalances. Every decision is committed to the replicated log before a server is called, so that the
 * log of a new leader contains everything that its predecessor may have sent to a server.
 */
import type { GroupConfiguration, ServerConfiguration } from '../configuration/routing-configuration.js';
import type { ShardReplica } from '../consensus/shard-replica.js';
import type { ReducerContext } from '../context.js';
import { announceLeadership, publishTableChange } from '../dissemination/table-propagation.js';
import {
  groupOfShard,
  sideOfOwner,
  type Milliseconds,
  type ServerId,
  type UnitNumber,
} from '../identifiers.js';
import type { LogEntry } from '../messages.js';
import { sendControlCall, handleControlReply, handleCallTimeout } from './control-calls.js';
import type { OwnershipRecord } from './ownership-table.js';
import { createCheckpointState, type CheckpointState } from './shard-checkpoint.js';
import {
  firstEpoch,
  nextEpoch,
  planShard,
  proposeAssignments,
  assignCurrentGenerationEpochs,
} from './shard-plan.js';
import {
  confirmStamp,
  createServerSession,
  recordLeasesExpired,
  type ServerSession,
} from './server-session.js';

/** A request to pin a key that waits until the owner of the key's hash slot has released the slot. */
export interface PendingPin {
  readonly key: string;
  readonly baseUnit: UnitNumber;
  readonly target: ServerId;
}

/** Volatile state of a shard leader. It isn't replicated; the next leader rebuilds it. */
export interface ShardLeadership {
  readonly replica: ShardReplica;
  readonly electedAt: Milliseconds;
  readonly sessions: Map<ServerId, ServerSession>;
  /** Units that appear in log entries which are proposed and not yet committed. */
  readonly proposedUnits: Set<UnitNumber>;
  readonly pendingPins: PendingPin[];
  /** Hand-overs that the receiving side has confirmed, as `<unit>@<epoch>`. */
  readonly confirmedHandOvers: Set<string>;
  nextHandOverAt: Milliseconds;
  readonly checkpoint: CheckpointState;
  /**
   * The table was read from the store and may be stale: no lease is renewed until all earlier leases have
   * expired.
   */
  recovering: boolean;
  /** An entry of this term is committed, so the table contains all committed entries of earlier terms. */
  ready: boolean;
  replanNeeded: boolean;
  nextBalanceAt: Milliseconds;
  nextRepairAt: Milliseconds;
  publishedVersion: number;
}

/** Creates the leader state of a replica that has won an election. */
export function onLeadershipStarted(context: ReducerContext, replica: ShardReplica): void {
  context.state.leaderships.set(replica.shard, {
    replica,
    electedAt: context.now,
    sessions: new Map(),
    proposedUnits: new Set(),
    pendingPins: [],
    confirmedHandOvers: new Set(),
    nextHandOverAt: context.now,
    checkpoint: createCheckpointState(),
    recovering: needsRecovery(replica),
    ready: false,
    replanNeeded: true,
    nextBalanceAt: context.now + context.state.timing.rebalanceInterval,
    nextRepairAt: context.now,
    publishedVersion: 0,
  });
}

/**
 * Returns whether a generation formed from the store still has units whose epoch belongs to an earlier
 * generation.
 */
function needsRecovery(replica: ShardReplica): boolean {
  const floor = firstEpoch(replica.generation);
  const records = [...replica.table.records.values()];
  return (
    replica.generation > 1 &&
    records.some(({ server, epoch }) => sideOfOwner(server) === null && epoch < floor)
  );
}

/** Discards the leader state of a replica that has stepped down. */
export function onLeadershipStopped(context: ReducerContext, replica: ShardReplica): void {
  context.state.leaderships.delete(replica.shard);
}

/** Handles a committed entry on the leader, after it has been applied to the table. */
export function onCommitted(
  context: ReducerContext,
  replica: ShardReplica,
  index: number,
  entry: LogEntry,
): void {
  const leadership = context.state.leaderships.get(replica.shard);
  if (leadership === undefined) {
    return;
  }
  const { holdings, moves } = entry.change;
  for (const unit of [...holdings.flatMap((holding) => holding.units), ...moves.map((move) => move.unit)]) {
    leadership.proposedUnits.delete(unit);
    const server = replica.table.records.get(unit)?.server;
    if (server !== undefined && sideOfOwner(server) !== null) {
      leadership.checkpoint.nextCallAt = context.now;
    }
    const session = server === undefined ? undefined : leadership.sessions.get(server);
    if (session !== undefined) {
      session.nextCallAt = context.now;
    }
  }
  leadership.replanNeeded = true;
  leadership.recovering &&= needsRecovery(replica);
  publishTableChange(context, replica, index, entry.change);
  if (!leadership.ready && entry.term === replica.term) {
    leadership.ready = true;
    announceLeadership(context, replica);
  }
}

function groupOf(context: ReducerContext, replica: ShardReplica): GroupConfiguration | undefined {
  return context.state.configuration.groups.get(groupOfShard(replica.shard));
}

/** Returns the session of a server. A new session assumes that the server may hold any unit. */
export function getOrCreateSession(
  context: ReducerContext,
  leadership: ShardLeadership,
  server: ServerId,
): ServerSession {
  let session = leadership.sessions.get(server);
  if (session === undefined) {
    const { timing, rules } = context.state;
    const bound =
      leadership.electedAt + (rules.waitAfterElection ? timing.serverLease + timing.clockDriftMargin : 0);
    session = createServerSession(server, context.now, bound);
    leadership.sessions.set(server, session);
  }
  return session;
}

function expireLeaseIfDue(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
): void {
  const mayHoldUnits = session.holdings === null || session.holdings.size > 0;
  if (context.now < session.leaseExpiryBound || !mayHoldUnits) {
    return;
  }
  recordLeasesExpired(session);
  leadership.replanNeeded = true;
  context.state.counters.lease_lapses += 1;
  context.log('warn', `lease of server ${session.server} has expired`);
}

function tickSession(
  context: ReducerContext,
  leadership: ShardLeadership,
  server: ServerConfiguration,
): void {
  const { rules, timing } = context.state;
  const session = getOrCreateSession(context, leadership, server.id);
  confirmStamp(session, leadership.replica.quorumRound, rules.confirmStampByQuorum);
  if (session.callSentAt !== null && context.now - session.callSentAt >= timing.controlTimeout) {
    handleCallTimeout(context, leadership, session);
  }
  expireLeaseIfDue(context, leadership, session);
  if (session.callSentAt === null && context.now >= session.nextCallAt) {
    sendControlCall(context, leadership, session, server.address);
  }
}

/**
 * Expires the leases of servers that were removed from the configuration, so that their units can be
 * reassigned.
 */
function expireLeasesOfRemovedServers(
  context: ReducerContext,
  leadership: ShardLeadership,
  current: Set<ServerId>,
): void {
  for (const session of leadership.sessions.values()) {
    if (!current.has(session.server)) {
      expireLeaseIfDue(context, leadership, session);
    }
  }
}

/** Runs the periodic work of a shard that this daemon leads. */
export function tickLeadership(context: ReducerContext, leadership: ShardLeadership): void {
  const group = groupOf(context, leadership.replica);
  if (group === undefined || !leadership.ready) {
    return;
  }
  const servers = context.state.configuration.serversOfShards.get(leadership.replica.shard) ?? [];
  for (const server of servers) {
    tickSession(context, leadership, server);
  }
  expireLeasesOfRemovedServers(context, leadership, new Set(servers.map((server) => server.id)));
  const balanceDue = context.now >= leadership.nextBalanceAt;
  if (leadership.recovering) {
    assignCurrentGenerationEpochs(context, leadership);
  } else if (leadership.replanNeeded || balanceDue) {
    leadership.replanNeeded = false;
    planShard(context, leadership, group, servers, balanceDue);
  }
}

/** Handles a server's reply to the call in progress; replies to earlier calls are ignored. */
export function receiveControlReply(
  context: ReducerContext,
  leadership: ShardLeadership,
  server: ServerId,
  reply: Parameters<typeof handleControlReply>[3],
): void {
  const session = leadership.sessions.get(server);
  if (session === undefined || session.sequence !== reply.sequence || session.callSentAt === null) {
    return;
  }
  const { staleUnits, changed } = handleControlReply(context, leadership, session, reply);
  const { table, generation } = leadership.replica;
  const renewed = staleUnits
    .map((unit) => table.records.get(unit))
    .filter(
      (record) =>
        record !== undefined && record.server === server && !leadership.proposedUnits.has(record.unit),
    )
    .map((record) => ({ ...(record as OwnershipRecord), epoch: nextEpoch(record, generation) }));
  proposeAssignments(context, leadership, renewed);
  leadership.replanNeeded ||= changed;
}
