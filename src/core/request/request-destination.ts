/**
 * Chooses the destination of a request: the owner of its key, the less loaded of two random servers, or a
 * gateway of the side that owns the key's unit.
 */
import type { GroupConfiguration, ServerConfiguration } from '../configuration/routing-configuration.js';
import { shardOfUnit } from '../configuration/shard-layout.js';
import type { ReducerContext } from '../context.js';
import type { FencingToken } from '../effects.js';
import { sideOfOwner, ownerIdOfSide, type ServerId } from '../identifiers.js';
import { aliveMembers } from '../membership/membership.js';
import { unitOfKey } from '../routing/key-unit.js';
import { inFlightLimit } from './admission.js';
import { serverLoadOf, type ActiveRequest } from './request-state.js';

/** Maximum number of requests that one daemon may have in flight to another side. */
const MAXIMUM_IN_FLIGHT_TO_OTHER_SIDE = 256;
/** Server or gateway to which a request is forwarded. */
export interface Destination {
  readonly id: ServerId;
  readonly address: string;
  /** Maximum number of requests that this daemon may have in flight to the destination. */
  readonly limit: number;
  readonly token: FencingToken | null;
  readonly toOtherSide: boolean;
}

function serverDestination(
  context: ReducerContext,
  server: ServerConfiguration,
  token: FencingToken | null,
): Destination {
  const limit = inFlightLimit(server, aliveMembers(context.state.membership).length);
  return { id: server.id, address: server.address, limit, token, toOtherSide: false };
}

function otherSideDestination(
  context: ReducerContext,
  request: ActiveRequest,
  side: string,
): Destination | string {
  const { configuration, random } = context.state;
  if (request.hops > 0) {
    return `the unit is on its way between two sides`;
  }
  const sideConfiguration = configuration.configuration?.sides.find((candidate) => candidate.name === side);
  const address = random.pick(sideConfiguration?.gateways ?? []);
  if (address === undefined) {
    return `side ${side} is not in the configuration`;
  }
  return {
    id: ownerIdOfSide(side),
    address,
    limit: MAXIMUM_IN_FLIGHT_TO_OTHER_SIDE,
    token: null,
    toOtherSide: true,
  };
}

function ownerDestination(
  context: ReducerContext,
  request: ActiveRequest,
  key: string,
): Destination | string {
  const { tables, configuration, identity } = context.state;
  const { group } = request;
  const unit = unitOfKey(tables, group, key);
  request.unit = unit;
  const record = tables.shards.get(shardOfUnit(group, unit))?.table.records.get(unit);
  const side = record === undefined ? group.home : (sideOfOwner(record.server) ?? undefined);
  if (side !== undefined && side !== identity.side) {
    return otherSideDestination(context, request, side);
  }
  if (record === undefined) {
    return `unit ${unit} of ${group.name} has no owner yet`;
  }
  if (record.target !== null) {
    return `unit ${unit} of ${group.name} is moving to ${record.target}`;
  }
  const server = configuration.servers.get(record.server);
  if (server === undefined) {
    return `the owner of unit ${unit} is no longer configured`;
  }
  return serverDestination(context, server, { group: group.name, unit, epoch: record.epoch });
}

function lessLoadedOfTwo(context: ReducerContext, group: GroupConfiguration): Destination | string {
  const { requests, random, rules } = context.state;
  const available = group.servers.filter(
    (server) =>
      (server.state === 'active' || !rules.respectDraining) &&
      serverLoadOf(requests, server.id).avoidUntil <= context.now,
  );
  const first = random.pick(available);
  const second = random.pick(available);
  if (first === undefined || second === undefined) {
    return `no server of ${group.name} takes requests`;
  }
  const lessLoaded =
    serverLoadOf(requests, first.id).inFlight <= serverLoadOf(requests, second.id).inFlight ? first : second;
  return serverDestination(context, lessLoaded, null);
}

/** Returns the destination of a request, or the reason why there is none yet. */
export function destinationOf(context: ReducerContext, request: ActiveRequest): Destination | string {
  return request.key === null
    ? lessLoadedOfTwo(context, request.group)
    : ownerDestination(context, request, request.key);
}
