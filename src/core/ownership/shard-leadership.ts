/**
 * The leader of a shard: grants, revokes, takes over from lost servers, drains and balances. Every
 * decision is an entry of the replicated log first and a call to a server afterwards, so that a new
 * leader finds all that its predecessor may have told a server.
 */
import type { GroupConfiguration, ServerConfiguration } from '../configuration/routing-configuration.js';
import { serversOfShard, unitsOfShard } from '../configuration/shard-layout.js';
import { propose } from '../consensus/replication.js';
import type { ShardReplica } from '../consensus/shard-replica.js';
import type { ReducerContext } from '../context.js';
import { publishLeadership, publishTableChange } from '../dissemination/table-spread.js';
import {
  groupOfShard,
  type Epoch,
  type Milliseconds,
  type ServerId,
  type UnitNumber,
} from '../identifiers.js';
import { emptyChange, type LogEntry, type Pin } from '../messages.js';
import { callServer, takeControlReply, timeOutCall } from './control-calls.js';
import { assignmentChange, type OwnershipRecord } from './ownership-table.js';
import {
  assignToLightest,
  planBalance,
  planDrain,
  UnitLoad,
  type Assignment,
  type PlacementServer,
} from './placement.js';
import {
  certainlyNotHeld,
  confirmStamp,
  createServerSession,
  declareLapsed,
  type ServerSession,
} from './server-session.js';

/** Units on the way at once, for drains and for balance. */
const MOVES_AT_ONCE = 8;
const BALANCE_MOVES_AT_ONCE = 4;
/** Each generation of a shard has epochs of its own, above those of every earlier one. */
const EPOCHS_PER_GENERATION = 1_000_000_000;

/** A pin that waits until the owner of the key's slot has given the slot up. */
export interface PendingPin {
  readonly key: string;
  readonly baseUnit: UnitNumber;
  readonly target: ServerId;
}

/** What only a leader keeps. Lost with the leadership and built anew by the next leader. */
export interface ShardLeadership {
  readonly replica: ShardReplica;
  readonly electedAt: Milliseconds;
  readonly sessions: Map<ServerId, ServerSession>;
  /** Units of entries that are proposed and not yet committed. */
  readonly proposed: Set<UnitNumber>;
  readonly pendingPins: PendingPin[];
  /** The first entry of this term is committed, so the table is complete. */
  ready: boolean;
  dirty: boolean;
  nextBalanceAt: Milliseconds;
  nextRepairAt: Milliseconds;
  publishedVersion: number;
}

/** Called when a replica has won an election. */
export function onLeadershipStarted(context: ReducerContext, replica: ShardReplica): void {
  context.state.leaderships.set(replica.shard, {
    replica,
    electedAt: context.now,
    sessions: new Map(),
    proposed: new Set(),
    pendingPins: [],
    ready: false,
    dirty: true,
    nextBalanceAt: context.now + context.state.timing.rebalanceInterval,
    nextRepairAt: context.now,
    publishedVersion: 0,
  });
}

/** Called when a leader steps down. */
export function onLeadershipStopped(context: ReducerContext, replica: ShardReplica): void {
  context.state.leaderships.delete(replica.shard);
}

/** Called on the leader for every committed entry, after the table holds it. */
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
    leadership.proposed.delete(unit);
    const server = replica.table.records.get(unit)?.server;
    const session = server === undefined ? undefined : leadership.sessions.get(server);
    if (session !== undefined) {
      session.nextContactAt = context.now;
    }
  }
  leadership.dirty = true;
  publishTableChange(context, replica, index, entry.change);
  if (!leadership.ready && entry.term === replica.term) {
    leadership.ready = true;
    publishLeadership(context, replica);
  }
}

function groupOf(context: ReducerContext, replica: ShardReplica): GroupConfiguration | undefined {
  return context.state.configuration.groups.get(groupOfShard(replica.shard));
}

function sessionFor(context: ReducerContext, leadership: ShardLeadership, server: ServerId): ServerSession {
  let session = leadership.sessions.get(server);
  if (session === undefined) {
    const { timing, rules } = context.state;
    const bound =
      leadership.electedAt + (rules.waitAfterElection ? timing.serverLease + timing.driftMargin : 0);
    session = createServerSession(server, context.now, bound);
    leadership.sessions.set(server, session);
  }
  return session;
}

function checkLease(context: ReducerContext, leadership: ShardLeadership, session: ServerSession): void {
  const holdsSomething = session.holdings === null || session.holdings.size > 0;
  if (context.now < session.leaseBound || !holdsSomething) {
    return;
  }
  declareLapsed(session);
  leadership.dirty = true;
  context.state.counters.lease_lapses += 1;
  context.log('warn', `lease of server ${session.server} has run out`);
}

function tendSession(
  context: ReducerContext,
  leadership: ShardLeadership,
  server: ServerConfiguration,
): void {
  const { rules, timing } = context.state;
  const session = sessionFor(context, leadership, server.id);
  confirmStamp(session, leadership.replica.quorumRound, rules.confirmStampByQuorum);
  if (session.sentAt !== null && context.now - session.sentAt >= timing.controlTimeout) {
    timeOutCall(context, leadership, session);
  }
  checkLease(context, leadership, session);
  if (session.sentAt === null && context.now >= session.nextContactAt) {
    callServer(context, leadership, session, server.address);
  }
}

/** Sessions of servers that left the configuration end when nothing of theirs is left in the table. */
function tendFormerServers(
  context: ReducerContext,
  leadership: ShardLeadership,
  current: Set<ServerId>,
): void {
  for (const session of leadership.sessions.values()) {
    if (!current.has(session.server)) {
      checkLease(context, leadership, session);
    }
  }
}

/** Does what is due for a shard that this daemon leads. */
export function tickLeadership(context: ReducerContext, leadership: ShardLeadership): void {
  const group = groupOf(context, leadership.replica);
  if (group === undefined || !leadership.ready) {
    return;
  }
  const servers = serversOfShard(group, leadership.replica.shard);
  for (const server of servers) {
    tendSession(context, leadership, server);
  }
  tendFormerServers(context, leadership, new Set(servers.map((server) => server.id)));
  const balanceDue = context.now >= leadership.nextBalanceAt;
  if (leadership.dirty || balanceDue) {
    leadership.dirty = false;
    planShard(context, leadership, group, servers, balanceDue);
  }
}

/** A server answered the leader of a shard. */
export function receiveControlReply(
  context: ReducerContext,
  leadership: ShardLeadership,
  server: ServerId,
  reply: Parameters<typeof takeControlReply>[3],
): void {
  const session = leadership.sessions.get(server);
  if (session === undefined || session.sequence !== reply.sequence || session.sentAt === null) {
    return;
  }
  const staleUnits = takeControlReply(context, leadership, session, reply);
  const { table, generation } = leadership.replica;
  const renewed = staleUnits
    .map((unit) => table.records.get(unit))
    .filter(
      (record) => record !== undefined && record.server === server && !leadership.proposed.has(record.unit),
    )
    .map((record) => ({ ...(record as OwnershipRecord), epoch: nextEpoch(record, generation) }));
  proposeAssignments(context, leadership, renewed);
  leadership.dirty = true;
}

/** The epoch for the next grant of a unit. */
export function nextEpoch(record: OwnershipRecord | undefined, generation: number): Epoch {
  return Math.max(record?.epoch ?? 0, generation * EPOCHS_PER_GENERATION) + 1;
}

function isAnswering(context: ReducerContext, session: ServerSession): boolean {
  return context.now - session.lastReplyAt < context.state.timing.serverLease;
}

function placementServers(
  context: ReducerContext,
  leadership: ShardLeadership,
  servers: readonly ServerConfiguration[],
): PlacementServer[] {
  return servers.map((server) => {
    const session = sessionFor(context, leadership, server.id);
    const draining = context.state.rules.respectDraining && (server.state === 'draining' || session.leaving);
    return {
      id: server.id,
      weight: server.weight,
      eligible: !draining && isAnswering(context, session),
      draining,
    };
  });
}

function proposeAssignments(
  context: ReducerContext,
  leadership: ShardLeadership,
  records: readonly Pick<OwnershipRecord, 'unit' | 'server' | 'epoch'>[],
): void {
  if (records.length === 0) {
    return;
  }
  for (const { unit } of records) {
    leadership.proposed.add(unit);
  }
  context.state.counters.units_assigned += records.length;
  propose(context, leadership.replica, assignmentChange(records));
}

function proposeMoves(
  context: ReducerContext,
  leadership: ShardLeadership,
  moves: readonly Assignment[],
): void {
  if (moves.length === 0) {
    return;
  }
  for (const { unit } of moves) {
    leadership.proposed.add(unit);
  }
  context.state.counters.units_moved += moves.length;
  const change = { ...emptyChange(), moves: moves.map(({ unit, server }) => ({ unit, target: server })) };
  propose(context, leadership.replica, change);
}

function isReleased(context: ReducerContext, leadership: ShardLeadership, record: OwnershipRecord): boolean {
  const session = sessionFor(context, leadership, record.server);
  if (record.target !== null && !context.state.rules.waitForRevocation) {
    return true;
  }
  if (!context.state.rules.waitForLease && !isAnswering(context, session)) {
    return context.now > leadership.electedAt + context.state.timing.controlTimeout;
  }
  return certainlyNotHeld(session, record.unit);
}

function planShard(
  context: ReducerContext,
  leadership: ShardLeadership,
  group: GroupConfiguration,
  servers: readonly ServerConfiguration[],
  balanceDue: boolean,
): void {
  const { replica, proposed } = leadership;
  const records = [...replica.table.records.values()].filter((record) => !proposed.has(record.unit));
  const candidates = placementServers(context, leadership, servers);
  const load = new UnitLoad(candidates, replica.table.records.values());
  const pinned = completePins(context, leadership, records);
  completeMoves(
    context,
    leadership,
    records.filter((record) => !pinned.has(record.unit)),
    candidates,
    load,
  );
  takeOverLapsed(context, leadership, records, candidates, load);
  assignMissing(context, leadership, group, load);
  const moving = [...replica.table.records.values()].filter((record) => record.target !== null).length;
  const settled = records.filter((record) => !proposed.has(record.unit));
  proposeMoves(context, leadership, planDrain(settled, candidates, load, MOVES_AT_ONCE - moving));
  if (balanceDue) {
    leadership.nextBalanceAt = context.now + context.state.timing.rebalanceInterval;
    const limit = BALANCE_MOVES_AT_ONCE - moving - proposed.size;
    proposeMoves(context, leadership, planBalance(settled, load, group.balanceTolerancePercent, limit));
  }
}

function completeMoves(
  context: ReducerContext,
  leadership: ShardLeadership,
  records: readonly OwnershipRecord[],
  servers: readonly PlacementServer[],
  load: UnitLoad,
): void {
  const released = records.filter(
    (record) => record.target !== null && isReleased(context, leadership, record),
  );
  const assigned = released.map((record) => {
    const wanted = servers.find((server) => server.id === record.target && server.eligible);
    const server = wanted ?? load.lightest();
    const epoch = nextEpoch(record, leadership.replica.generation);
    return { unit: record.unit, server: server?.id ?? record.server, epoch };
  });
  proposeAssignments(context, leadership, assigned);
}

function takeOverLapsed(
  context: ReducerContext,
  leadership: ShardLeadership,
  records: readonly OwnershipRecord[],
  servers: readonly PlacementServer[],
  load: UnitLoad,
): void {
  const answering = new Set(
    servers.filter((server) => server.eligible || server.draining).map((server) => server.id),
  );
  const lost = records.filter(
    (record) =>
      record.target === null &&
      !answering.has(record.server) &&
      !leadership.proposed.has(record.unit) &&
      isReleased(context, leadership, record),
  );
  for (const record of lost) {
    load.add(record.server, -1);
  }
  const epochs = new Map(
    lost.map((record) => [record.unit, nextEpoch(record, leadership.replica.generation)]),
  );
  const assignments = assignToLightest([...epochs.keys()], load);
  proposeAssignments(
    context,
    leadership,
    assignments.map(({ unit, server }) => ({ unit, server, epoch: epochs.get(unit) ?? 0 })),
  );
}

function assignMissing(
  context: ReducerContext,
  leadership: ShardLeadership,
  group: GroupConfiguration,
  load: UnitLoad,
): void {
  const { table, shard, generation } = leadership.replica;
  const waited = context.now - leadership.electedAt >= context.state.timing.firstAssignment;
  if (!waited || table.records.size >= group.slots / group.shards) {
    return;
  }
  const missing = unitsOfShard(group, shard).filter(
    (unit) => !table.records.has(unit) && !leadership.proposed.has(unit),
  );
  const assignments = assignToLightest(missing, load);
  proposeAssignments(
    context,
    leadership,
    assignments.map(({ unit, server }) => ({ unit, server, epoch: nextEpoch(undefined, generation) })),
  );
}

/** Splits a key off its slot once the slot's owner has given the slot up. Returns the units it dealt with. */
function completePins(
  context: ReducerContext,
  leadership: ShardLeadership,
  records: readonly OwnershipRecord[],
): Set<UnitNumber> {
  const done = new Set<UnitNumber>();
  for (const record of records) {
    const pending = leadership.pendingPins.find((pin) => pin.baseUnit === record.unit);
    if (pending === undefined) {
      continue;
    }
    done.add(record.unit);
    if (record.target !== null && isReleased(context, leadership, record)) {
      leadership.pendingPins.splice(leadership.pendingPins.indexOf(pending), 1);
      proposePin(context, leadership, record, pending);
    }
  }
  return done;
}

function proposePin(
  context: ReducerContext,
  leadership: ShardLeadership,
  base: OwnershipRecord,
  pending: PendingPin,
): void {
  const { table, generation } = leadership.replica;
  const group = groupOf(context, leadership.replica);
  if (group === undefined) {
    return;
  }
  const baseIndex = base.unit % group.shards;
  const unit = table.pins.get(pending.key) ?? group.slots + table.pins.size * group.shards + baseIndex;
  const epoch = nextEpoch(base, generation);
  const pin: Pin = { key: pending.key, unit };
  leadership.proposed.add(base.unit);
  leadership.proposed.add(unit);
  const change = assignmentChange([
    { unit: base.unit, server: base.server, epoch },
    { unit, server: pending.target, epoch },
  ]);
  propose(context, leadership.replica, { ...change, pins: [pin] });
}

/** Starts an operator's move. The error is what the operator is told. */
export function startMove(
  context: ReducerContext,
  leadership: ShardLeadership,
  unit: UnitNumber,
  target: ServerId,
): string | null {
  const refusal = refuseTarget(context, leadership, target);
  const record = leadership.replica.table.records.get(unit);
  if (refusal !== null) {
    return refusal;
  }
  if (record === undefined) {
    return `unit ${unit} has no owner yet`;
  }
  if (record.target !== null || leadership.proposed.has(unit)) {
    return `unit ${unit} is already on its way from ${record.server} to ${record.target ?? 'another server'}`;
  }
  if (record.server === target) {
    return `unit ${unit} is on ${target} already`;
  }
  proposeMoves(context, leadership, [{ unit, server: target }]);
  return null;
}

/** Starts to give a single key a unit of its own. */
export function startPin(
  context: ReducerContext,
  leadership: ShardLeadership,
  key: string,
  baseUnit: UnitNumber,
  target: ServerId,
): string | null {
  const { table } = leadership.replica;
  const pinned = table.pins.get(key);
  if (pinned !== undefined) {
    return startMove(context, leadership, pinned, target);
  }
  const refusal = refuseTarget(context, leadership, target);
  const record = table.records.get(baseUnit);
  if (refusal !== null) {
    return refusal;
  }
  if (record === undefined || record.target !== null || leadership.proposed.has(baseUnit)) {
    return `the slot of key ${key} is on its way or has no owner yet`;
  }
  leadership.pendingPins.push({ key, baseUnit, target });
  proposeMoves(context, leadership, [{ unit: baseUnit, server: record.server }]);
  return null;
}

function refuseTarget(context: ReducerContext, leadership: ShardLeadership, target: ServerId): string | null {
  const group = groupOf(context, leadership.replica);
  const servers = group === undefined ? [] : serversOfShard(group, leadership.replica.shard);
  const server = placementServers(context, leadership, servers).find((candidate) => candidate.id === target);
  if (server === undefined) {
    return `no server ${target} in shard ${leadership.replica.shard}`;
  }
  if (server.draining) {
    return `server ${target} is draining`;
  }
  return server.eligible ? null : `server ${target} does not answer`;
}
