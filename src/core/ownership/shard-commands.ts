/**
 * Operator commands that a shard leader executes: moving a unit, handing it over to another side, and giving
 * a single key a unit of its own. Each function returns the reason for a refusal, or null on success.
 */
import type { ReducerContext } from '../context.js';
import { sideOfOwner, ownerIdOfSide, type ServerId, type UnitNumber } from '../identifiers.js';
import { isStoreResponding } from './shard-checkpoint.js';
import type { ShardLeadership } from './shard-leadership.js';
import { placementServers, proposeMoves } from './shard-plan.js';

/** Starts to move a unit to another server of the shard. */
export function startMove(
  context: ReducerContext,
  leadership: ShardLeadership,
  unit: UnitNumber,
  target: ServerId,
): string | null {
  return (
    targetRefusalReason(context, leadership, target) ??
    startMoveWithoutTargetCheck(context, leadership, unit, target)
  );
}

function startMoveWithoutTargetCheck(
  context: ReducerContext,
  leadership: ShardLeadership,
  unit: UnitNumber,
  target: ServerId,
): string | null {
  const record = leadership.replica.table.records.get(unit);
  if (record === undefined) {
    return `unit ${unit} has no owner yet`;
  }
  const otherSide = sideOfOwner(record.server);
  if (otherSide !== null) {
    return `unit ${unit} belongs to side ${otherSide}: ask there`;
  }
  if (record.target !== null || leadership.proposedUnits.has(unit)) {
    return `unit ${unit} is already moving from ${record.server} to ${record.target ?? 'another server'}`;
  }
  if (record.server === target) {
    return `unit ${unit} is already owned by ${target}`;
  }
  proposeMoves(context, leadership, [{ unit, server: target }]);
  return null;
}

/** Starts to hand over a unit to another side. */
export function startHandOver(
  context: ReducerContext,
  leadership: ShardLeadership,
  unit: UnitNumber,
  side: string,
): string | null {
  const { configuration } = context.state.configuration;
  const sides = configuration?.sides.map((candidate) => candidate.name) ?? [];
  if (!sides.includes(side)) {
    return `no side ${side} in the configuration; there are: ${sides.join(', ') || 'none'}`;
  }
  if (!isStoreResponding(context, leadership)) {
    return 'the platform store is not responding: the unit would have no owner until it responds';
  }
  return startMoveWithoutTargetCheck(context, leadership, unit, ownerIdOfSide(side));
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
  const refusal = targetRefusalReason(context, leadership, target);
  const record = table.records.get(baseUnit);
  if (refusal !== null) {
    return refusal;
  }
  const isOwnedHere = record !== undefined && sideOfOwner(record.server) === null;
  if (!isOwnedHere || record.target !== null || leadership.proposedUnits.has(baseUnit)) {
    return `the hash slot of key ${key} is moving, belongs to another side, or has no owner yet`;
  }
  leadership.pendingPins.push({ key, baseUnit, target });
  proposeMoves(context, leadership, [{ unit: baseUnit, server: record.server }]);
  return null;
}

function targetRefusalReason(
  context: ReducerContext,
  leadership: ShardLeadership,
  target: ServerId,
): string | null {
  const servers = context.state.configuration.serversOfShards.get(leadership.replica.shard) ?? [];
  const server = placementServers(context, leadership, servers).find((candidate) => candidate.id === target);
  if (server === undefined) {
    return `no server ${target} in shard ${leadership.replica.shard}`;
  }
  if (server.draining) {
    return `server ${target} is draining`;
  }
  return server.eligible ? null : `server ${target} is not responding`;
}
