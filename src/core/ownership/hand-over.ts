/**
 * Hand-over of units between two sides (sites), each with its own store and daemons. Ownership is transferred
 * once: after its server has released the unit, the source commits that the unit belongs to the other
 * side, and resends this until the other side has committed the unit as its own. A network partition between
 * the sides leaves the unit without an owner, never with two. See docs/design/hand-over.md.
 */
import { shardOfUnit } from '../configuration/shard-layout.js';
import type { ReducerContext } from '../context.js';
import { groupOfShard, sideOfOwner, type Epoch, type Milliseconds, type UnitNumber } from '../identifiers.js';
import type { HandOver, HandOverReply } from '../messages.js';
import type { OwnershipRecord } from './ownership-table.js';
import { UnitLoad } from './placement.js';
import type { ShardLeadership } from './shard-leadership.js';
import { isDurable } from './shard-checkpoint.js';
import { nextEpoch, placementServers, proposeAssignments } from './shard-plan.js';

/** Interval at which unconfirmed hand-overs are resent. */
const RESEND_INTERVAL: Milliseconds = 300;
const MAXIMUM_UNITS_PER_MESSAGE = 512;

function handOverKey(unit: UnitNumber, epoch: Epoch): string {
  return `${unit}@${epoch}`;
}

function unconfirmedHandOversBySide(leadership: ShardLeadership): Map<string, OwnershipRecord[]> {
  const bySide = new Map<string, OwnershipRecord[]>();
  for (const record of leadership.replica.table.records.values()) {
    const side = sideOfOwner(record.server);
    const confirmed = leadership.confirmedHandOvers.has(handOverKey(record.unit, record.epoch));
    // Not sent before the store contains the record: a recovery from the store must not reclaim the unit.
    if (side !== null && !confirmed && isDurable(leadership, record.epoch, record.unit)) {
      bySide.set(side, [...(bySide.get(side) ?? []), record]);
    }
  }
  return bySide;
}

/** Periodically sends hand-overs to the sides that now own the units, until those sides confirm them. */
export function tickHandOver(context: ReducerContext, leadership: ShardLeadership): void {
  if (!leadership.ready || context.now < leadership.nextHandOverAt) {
    return;
  }
  leadership.nextHandOverAt = context.now + RESEND_INTERVAL;
  const { configuration, random, identity } = context.state;
  for (const [side, records] of unconfirmedHandOversBySide(leadership)) {
    const sideConfiguration = configuration.configuration?.sides.find((candidate) => candidate.name === side);
    const address = random.pick(sideConfiguration?.daemons ?? []);
    const sent = records.slice(0, MAXIMUM_UNITS_PER_MESSAGE);
    if (address !== undefined) {
      context.sendToAddress(address, {
        kind: 'handOver',
        group: groupOfShard(leadership.replica.shard),
        units: sent.map((record) => record.unit),
        epochs: sent.map((record) => record.epoch),
        replyAddress: identity.address,
      });
    }
  }
}

/** A unit and the epoch at which the other side handed it over. */
interface HandedOverUnit {
  readonly unit: UnitNumber;
  readonly epoch: Epoch;
}

/**
 * Accepts handed-over units of the shards that this daemon leads and forwards the others to the leaders of
 * their shards.
 */
export function receiveHandOver(context: ReducerContext, message: HandOver): void {
  const { configuration, leaderships, tables } = context.state;
  const group = configuration.groups.get(message.group);
  if (group === undefined) {
    return;
  }
  const byShard = new Map<string, HandedOverUnit[]>();
  message.units.forEach((unit, index) => {
    const shard = shardOfUnit(group, unit);
    byShard.set(shard, [...(byShard.get(shard) ?? []), { unit, epoch: message.epochs[index] ?? 0 }]);
  });
  for (const [shard, handedOver] of byShard) {
    const leadership = leaderships.get(shard);
    const leader = tables.shards.get(shard)?.leader ?? '';
    if (leadership?.ready === true) {
      acceptHandedOverUnits(context, leadership, handedOver, message);
    } else if (leader !== '' && leader !== context.state.identity.id) {
      const units = handedOver.map(({ unit }) => unit);
      context.send(leader, { ...message, units, epochs: handedOver.map(({ epoch }) => epoch) });
    }
  }
}

function acceptHandedOverUnits(
  context: ReducerContext,
  leadership: ShardLeadership,
  handedOver: readonly HandedOverUnit[],
  message: HandOver,
): void {
  const { table, generation, shard } = leadership.replica;
  const servers = context.state.configuration.serversOfShards.get(shard) ?? [];
  const load = new UnitLoad(placementServers(context, leadership, servers), table.records.values());
  const accepted: HandedOverUnit[] = [];
  const assignments: Pick<OwnershipRecord, 'unit' | 'server' | 'epoch'>[] = [];
  for (const { unit, epoch } of handedOver) {
    const record = table.records.get(unit);
    const server = load.leastLoaded();
    if (record !== undefined && record.epoch > epoch) {
      confirmIfDurable(leadership, record, { unit, epoch }, accepted);
    } else if (record !== undefined && sideOfOwner(record.server) === null) {
      context.log(
        'error',
        `refused the hand-over of unit ${unit} at epoch ${epoch}: server ${record.server} owns it on this side`,
      );
    } else if (server !== undefined && !leadership.proposedUnits.has(unit)) {
      load.add(server.id, 1);
      const previous = { unit, server: server.id, epoch, target: null };
      assignments.push({ unit, server: server.id, epoch: nextEpoch(previous, generation) });
    }
  }
  proposeAssignments(context, leadership, assignments);
  if (accepted.length > 0) {
    context.sendToAddress(message.replyAddress, {
      kind: 'handOverReply',
      group: message.group,
      units: accepted.map(({ unit }) => unit),
      epochs: accepted.map(({ epoch }) => epoch),
    });
  }
}

/**
 * Confirms a hand-over only when the store contains the unit's record; until then the other side keeps
 * resending it.
 */
function confirmIfDurable(
  leadership: ShardLeadership,
  record: OwnershipRecord,
  handedOver: HandedOverUnit,
  accepted: HandedOverUnit[],
): void {
  if (isDurable(leadership, record.epoch, record.unit)) {
    accepted.push(handedOver);
  }
}

/**
 * Records that the other side has committed units as its own, so that their hand-overs are no longer resent.
 */
export function receiveHandOverReply(context: ReducerContext, message: HandOverReply): void {
  const group = context.state.configuration.groups.get(message.group);
  if (group === undefined) {
    return;
  }
  message.units.forEach((unit, index) => {
    const leadership = context.state.leaderships.get(shardOfUnit(group, unit));
    leadership?.confirmedHandOvers.add(handOverKey(unit, message.epochs[index] ?? 0));
  });
}
