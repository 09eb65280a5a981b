/**
 * Answers the queries of the language from the state of one daemon; the rows show what that daemon knows.
 */
import { err, ok, type Result } from 'neverthrow';
import { shardOfUnit } from '../core/configuration/shard-layout.js';
import type { GroupConfiguration } from '../core/configuration/routing-configuration.js';
import type { DaemonState } from '../core/daemon-state.js';
import { aliveMembers } from '../core/membership/membership.js';
import { serverLoadOf } from '../core/request/request-state.js';
import type { OwnershipRecord } from '../core/ownership/ownership-table.js';
import { unitOfKey } from '../core/routing/key-unit.js';
import { AdminError } from '../errors.js';
import type { Statement, UnitReference } from './language/statements.js';

/** A value of a row. */
export type Cell = string | number | boolean | null;
/** One row of a query's result. */
export type Row = Readonly<Record<string, Cell>>;

export type QueryStatement = Extract<Statement, { kind: `show${string}` }>;

function findKeyedGroup(state: DaemonState, name: string): Result<GroupConfiguration, AdminError> {
  const group = state.configuration.groups.get(name);
  if (group?.kind === 'keyed') {
    return ok(group);
  }
  const keyed = [...state.configuration.groups.values()].filter((candidate) => candidate.kind === 'keyed');
  const names = keyed.map((candidate) => candidate.name).join(', ');
  return err(
    new AdminError('find group', name, `unknown keyed group ${name}; there are: ${names || 'none'}`),
  );
}

/** Returns the unit that a statement refers to by number or by key. */
export function resolveUnit(
  state: DaemonState,
  groupName: string,
  reference: UnitReference,
): Result<number, AdminError> {
  return findKeyedGroup(state, groupName).map((group) =>
    reference.by === 'unit' ? reference.unit : unitOfKey(state.tables, group, reference.key),
  );
}

function ownerRow(group: string, record: OwnershipRecord): Row {
  const { unit, server, epoch, target } = record;
  return { group, unit, server, epoch, movingTo: target };
}

function showOwner(
  state: DaemonState,
  groupName: string,
  reference: UnitReference,
): Result<Row[], AdminError> {
  return findKeyedGroup(state, groupName).andThen((group) => {
    const unit = reference.by === 'unit' ? reference.unit : unitOfKey(state.tables, group, reference.key);
    const record = state.tables.shards.get(shardOfUnit(group, unit))?.table.records.get(unit);
    if (record === undefined) {
      return err(new AdminError('find owner', groupName, `this daemon knows no owner of unit ${unit}`));
    }
    return ok([ownerRow(groupName, record)]);
  });
}

function ownerRows(state: DaemonState): Row[] {
  return [...state.tables.shards].flatMap(([shard, { table }]) => {
    const group = shard.slice(0, shard.lastIndexOf('/'));
    return [...table.records.values()].map((record) => ownerRow(group, record));
  });
}

function showServers(state: DaemonState): Row[] {
  const unitCounts = new Map<Cell, number>();
  for (const row of ownerRows(state)) {
    const server = row['server'] ?? null;
    unitCounts.set(server, (unitCounts.get(server) ?? 0) + 1);
  }
  const groups = state.configuration.configuration?.groups ?? [];
  return groups.flatMap((group) =>
    group.servers.map((server) => ({
      group: group.name,
      server: server.id,
      zone: server.zone,
      state: server.state,
      units: unitCounts.get(server.id) ?? 0,
      weight: server.weight,
      inFlightHere: serverLoadOf(state.requests, server.id).inFlight,
    })),
  );
}

function showShards(state: DaemonState): Row[] {
  return [...state.tables.shards].map(([shard, known]) => ({
    shard,
    generation: known.generation,
    version: known.version,
    leader: known.leader,
    replicas: known.replicas.join(' '),
    units: known.table.records.size,
  }));
}

function showConfiguration(state: DaemonState): Row[] {
  const members = aliveMembers(state.membership);
  return members.map((member) => ({
    daemon: member.id,
    version:
      member.id === state.identity.id
        ? state.configuration.version
        : (state.tables.peerConfigurationVersions.get(member.id) ?? null),
  }));
}

function showRoutes(state: DaemonState): Row[] {
  const routes = state.configuration.configuration?.routes ?? [];
  return routes.map((route) => ({
    route: route.name,
    host: route.host ?? null,
    path: route.path,
    methods: route.methods.join(','),
    group: route.group,
    key: route.key === undefined ? null : `${route.key.from} ${route.key.name}`,
    repeatable: route.repeatable,
    priority: route.priority,
    timeoutMilliseconds: route.timeoutMilliseconds,
  }));
}

/** Returns the rows that answer a query. */
export function answerQuery(state: DaemonState, query: QueryStatement): Result<Row[], AdminError> {
  switch (query.kind) {
    case 'showOwner':
      return showOwner(state, query.group, query.reference);
    case 'showUnits':
      return ok(ownerRows(state).filter((row) => row['server'] === query.server));
    case 'showMoving':
      return ok(ownerRows(state).filter((row) => row['movingTo'] !== null));
    case 'showServers':
      return ok(showServers(state));
    case 'showShards':
      return ok(showShards(state));
    case 'showMembers':
      return ok([...state.membership.members.values()].map((member) => ({ ...member })));
    case 'showRoutes':
      return ok(showRoutes(state));
    case 'showConfiguration':
      return ok(showConfiguration(state));
  }
}
