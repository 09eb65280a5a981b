/**
 * Assignment decisions of a shard leader: which server owns each unit, and when a unit moves. Each decision is
 * proposed to the replicated log; calls to servers are derived from the committed table.
 */
import type { GroupConfiguration, ServerConfiguration } from '../configuration/routing-configuration.js';
import { unitsOfShard } from '../configuration/shard-layout.js';
import { propose } from '../consensus/replication.js';
import type { ReducerContext } from '../context.js';
import { sideOfOwner, type Epoch, type UnitNumber } from '../identifiers.js';
import { createEmptyChange, type Pin } from '../messages.js';
import { assignmentChange, type OwnershipRecord } from './ownership-table.js';
import {
  assignToLeastLoaded,
  planBalance,
  planDrain,
  UnitLoad,
  type Assignment,
  type PlacementServer,
} from './placement.js';
import { isProvenNotHeld, type ServerSession } from './server-session.js';
import { getOrCreateSession, type PendingPin, type ShardLeadership } from './shard-leadership.js';

/** Maximum number of units that move at the same time, for draining and balancing together. */
const MAXIMUM_CONCURRENT_MOVES = 8;
/** Factor by which the first assignment is delayed while some servers have not replied yet. */
const UNRESPONSIVE_SERVERS_DELAY_FACTOR = 4;
const MAXIMUM_CONCURRENT_BALANCE_MOVES = 4;
/**
 * Size of the epoch range of a generation; the ranges ascend, so its epochs exceed those of every earlier
 * generation.
 */
const EPOCHS_PER_GENERATION = 1_000_000_000;

/** Returns the lowest epoch of a generation. */
export function firstEpoch(generation: number): Epoch {
  return generation * EPOCHS_PER_GENERATION + 1;
}

/** Returns the epoch for the next grant of a unit. */
export function nextEpoch(record: OwnershipRecord | undefined, generation: number): Epoch {
  return Math.max((record?.epoch ?? 0) + 1, firstEpoch(generation));
}

function isResponsive(context: ReducerContext, session: ServerSession): boolean {
  return context.now - session.lastReplyAt < context.state.timing.serverLease;
}

/** Returns the servers of a shard as input for placement. */
export function placementServers(
  context: ReducerContext,
  leadership: ShardLeadership,
  servers: readonly ServerConfiguration[],
): PlacementServer[] {
  return servers.map((server) => {
    const session = getOrCreateSession(context, leadership, server.id);
    const draining = context.state.rules.respectDraining && (server.state === 'draining' || session.draining);
    return {
      id: server.id,
      weight: server.weight,
      eligible: !draining && isResponsive(context, session),
      draining,
    };
  });
}

/** Proposes to assign units to servers. */
export function proposeAssignments(
  context: ReducerContext,
  leadership: ShardLeadership,
  records: readonly Pick<OwnershipRecord, 'unit' | 'server' | 'epoch'>[],
): void {
  if (records.length === 0) {
    return;
  }
  for (const { unit } of records) {
    leadership.proposedUnits.add(unit);
  }
  context.state.counters.units_assigned += records.length;
  propose(context, leadership.replica, assignmentChange(records));
}

/** Proposes to move units to target servers. */
export function proposeMoves(
  context: ReducerContext,
  leadership: ShardLeadership,
  moves: readonly Assignment[],
): void {
  if (moves.length === 0) {
    return;
  }
  for (const { unit } of moves) {
    leadership.proposedUnits.add(unit);
  }
  context.state.counters.units_moved += moves.length;
  const change = {
    ...createEmptyChange(),
    moves: moves.map(({ unit, server }) => ({ unit, target: server })),
  };
  propose(context, leadership.replica, change);
}

/** Returns whether every lease that an earlier generation may have renewed has expired. */
function earlierLeasesExpired(context: ReducerContext, leadership: ShardLeadership): boolean {
  const { serverLease, clockDriftMargin } = context.state.timing;
  return context.now - leadership.electedAt >= serverLease + clockDriftMargin;
}

/**
 * Assigns an epoch of the current generation to every unit of a table that was read from the store. The
 * table may be stale: a server that it does not name may have held a unit, so all earlier leases must
 * expire first.
 */
export function assignCurrentGenerationEpochs(context: ReducerContext, leadership: ShardLeadership): void {
  if (!earlierLeasesExpired(context, leadership)) {
    return;
  }
  const { table, generation } = leadership.replica;
  const outdated = [...table.records.values()].filter(
    ({ unit, server, epoch }) =>
      sideOfOwner(server) === null && epoch < firstEpoch(generation) && !leadership.proposedUnits.has(unit),
  );
  const renewed = outdated.map((record) => ({ ...record, epoch: nextEpoch(record, generation) }));
  proposeAssignments(context, leadership, renewed);
}

function isReleased(context: ReducerContext, leadership: ShardLeadership, record: OwnershipRecord): boolean {
  const session = getOrCreateSession(context, leadership, record.server);
  const { rules } = context.state;
  const leavesSide = record.target !== null && sideOfOwner(record.target) !== null;
  if (record.target !== null && (!rules.waitForRevocation || (leavesSide && !rules.releaseBeforeHandOver))) {
    return true;
  }
  if (!context.state.rules.waitForLease && !isResponsive(context, session)) {
    return context.now > leadership.electedAt + context.state.timing.controlTimeout;
  }
  return isProvenNotHeld(session, record.unit);
}

/** Plans and proposes the assignments and moves that are due. */
export function planShard(
  context: ReducerContext,
  leadership: ShardLeadership,
  group: GroupConfiguration,
  servers: readonly ServerConfiguration[],
  balanceDue: boolean,
): void {
  const { replica, proposedUnits } = leadership;
  const records = [...replica.table.records.values()].filter(
    (record) => !proposedUnits.has(record.unit) && sideOfOwner(record.server) === null,
  );
  const candidates = placementServers(context, leadership, servers);
  const load = new UnitLoad(candidates, replica.table.records.values());
  const pinned = completePins(context, leadership, records, group);
  completeMoves(
    context,
    leadership,
    records.filter((record) => !pinned.has(record.unit)),
    candidates,
    load,
  );
  reassignUnitsOfLostServers(context, leadership, records, candidates, load);
  assignUnownedUnits(context, leadership, group, load);
  const moving = [...replica.table.records.values()].filter((record) => record.target !== null).length;
  const settled = records.filter((record) => !proposedUnits.has(record.unit));
  proposeMoves(context, leadership, planDrain(settled, candidates, load, MAXIMUM_CONCURRENT_MOVES - moving));
  if (balanceDue) {
    leadership.nextBalanceAt = context.now + context.state.timing.rebalanceInterval;
    const limit = MAXIMUM_CONCURRENT_BALANCE_MOVES - moving - proposedUnits.size;
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
    const eligibleTarget = servers.find((server) => server.id === record.target && server.eligible);
    const server = eligibleTarget ?? load.leastLoaded();
    const epoch = nextEpoch(record, leadership.replica.generation);
    const otherSide =
      record.target !== null && sideOfOwner(record.target) !== null ? record.target : undefined;
    return { unit: record.unit, server: otherSide ?? server?.id ?? record.server, epoch };
  });
  proposeAssignments(context, leadership, assigned);
}

function reassignUnitsOfLostServers(
  context: ReducerContext,
  leadership: ShardLeadership,
  records: readonly OwnershipRecord[],
  servers: readonly PlacementServer[],
  load: UnitLoad,
): void {
  const responsiveServers = new Set(
    servers.filter((server) => server.eligible || server.draining).map((server) => server.id),
  );
  const lost = records.filter(
    (record) =>
      record.target === null &&
      !responsiveServers.has(record.server) &&
      !leadership.proposedUnits.has(record.unit) &&
      isReleased(context, leadership, record),
  );
  for (const record of lost) {
    load.add(record.server, -1);
  }
  const epochs = new Map(
    lost.map((record) => [record.unit, nextEpoch(record, leadership.replica.generation)]),
  );
  const assignments = assignToLeastLoaded([...epochs.keys()], load);
  proposeAssignments(
    context,
    leadership,
    assignments.map(({ unit, server }) => ({ unit, server, epoch: epochs.get(unit) ?? 0 })),
  );
}

function assignUnownedUnits(
  context: ReducerContext,
  leadership: ShardLeadership,
  group: GroupConfiguration,
  load: UnitLoad,
): void {
  const { table, shard, generation } = leadership.replica;
  if (group.home !== undefined && group.home !== context.state.identity.side) {
    return;
  }
  if (generation > 1 && !earlierLeasesExpired(context, leadership)) {
    return;
  }
  const waited = context.now - leadership.electedAt;
  const { firstAssignmentDelay } = context.state.timing;
  const someWithoutReply = [...leadership.sessions.values()].some((session) => session.incarnation === 0);
  // Once all servers have replied, the first assignment is balanced and none of its units has to move again.
  if (
    waited <
      (someWithoutReply ? firstAssignmentDelay * UNRESPONSIVE_SERVERS_DELAY_FACTOR : firstAssignmentDelay) ||
    table.records.size >= group.slots / group.shards
  ) {
    return;
  }
  const missing = unitsOfShard(group, shard).filter(
    (unit) => !table.records.has(unit) && !leadership.proposedUnits.has(unit),
  );
  const assignments = assignToLeastLoaded(missing, load);
  proposeAssignments(
    context,
    leadership,
    assignments.map(({ unit, server }) => ({ unit, server, epoch: nextEpoch(undefined, generation) })),
  );
}

/**
 * Gives keys units of their own once the owners of their hash slots have released the slots. Returns the
 * slots with pending pins.
 */
function completePins(
  context: ReducerContext,
  leadership: ShardLeadership,
  records: readonly OwnershipRecord[],
  group: GroupConfiguration,
): Set<UnitNumber> {
  const slotsWithPins = new Set<UnitNumber>();
  for (const record of records) {
    const pending = leadership.pendingPins.find((pin) => pin.baseUnit === record.unit);
    if (pending === undefined) {
      continue;
    }
    slotsWithPins.add(record.unit);
    if (record.target !== null && isReleased(context, leadership, record)) {
      leadership.pendingPins.splice(leadership.pendingPins.indexOf(pending), 1);
      proposePin(context, leadership, record, pending, group);
    }
  }
  return slotsWithPins;
}

function proposePin(
  context: ReducerContext,
  leadership: ShardLeadership,
  base: OwnershipRecord,
  pending: PendingPin,
  group: GroupConfiguration,
): void {
  const { table, generation } = leadership.replica;
  const baseIndex = base.unit % group.shards;
  const unit = table.pins.get(pending.key) ?? group.slots + table.pins.size * group.shards + baseIndex;
  const epoch = nextEpoch(base, generation);
  const pin: Pin = { key: pending.key, unit };
  leadership.proposedUnits.add(base.unit);
  leadership.proposedUnits.add(unit);
  const change = assignmentChange([
    { unit: base.unit, server: base.server, epoch },
    { unit, server: pending.target, epoch },
  ]);
  propose(context, leadership.replica, { ...change, pins: [pin] });
}
