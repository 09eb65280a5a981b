/**
 * Placement of units on servers. Pure functions that compute assignments and moves from a shard's records and
 * servers. The group's balance tolerance limits the moves that are made for balance.
 */
import type { ServerId, UnitNumber } from '../identifiers.js';
import { rendezvousOrder } from '../hashing.js';
import type { OwnershipRecord } from './ownership-table.js';

/** Placement's view of a server. */
export interface PlacementServer {
  readonly id: ServerId;
  readonly weight: number;
  /** The server replies to its leader and accepts new units. */
  readonly eligible: boolean;
  /** The server is draining by configuration or by its own announcement: its units move to other servers. */
  readonly draining: boolean;
}

/** Assignment of a unit to a server. */
export interface Assignment {
  readonly unit: UnitNumber;
  readonly server: ServerId;
}

/** Number of units per server. A moving unit counts for its target. */
export class UnitLoad {
  readonly #counts = new Map<ServerId, number>();
  readonly #servers: readonly PlacementServer[];

  constructor(servers: readonly PlacementServer[], records: Iterable<OwnershipRecord>) {
    this.#servers = servers;
    for (const record of records) {
      this.add(record.target ?? record.server, 1);
    }
  }

  /** Adds to the number of units of a server. */
  add(server: ServerId, count: number): void {
    this.#counts.set(server, this.countOf(server) + count);
  }

  /** Returns the number of units of a server. */
  countOf(server: ServerId): number {
    return this.#counts.get(server) ?? 0;
  }

  /** Returns the eligible server with the fewest units relative to its weight, or undefined. */
  leastLoaded(): PlacementServer | undefined {
    let best: PlacementServer | undefined;
    for (const server of this.#servers) {
      if (
        server.eligible &&
        (best === undefined || this.#unitsPerWeight(server) < this.#unitsPerWeight(best))
      ) {
        best = server;
      }
    }
    return best;
  }

  /** Returns the eligible server with the most units relative to its weight, or undefined. */
  mostLoaded(): PlacementServer | undefined {
    let best: PlacementServer | undefined;
    for (const server of this.#servers) {
      if (
        server.eligible &&
        (best === undefined || this.#unitsPerWeight(server) > this.#unitsPerWeight(best))
      ) {
        best = server;
      }
    }
    return best;
  }

  #unitsPerWeight(server: PlacementServer): number {
    return this.countOf(server.id) / server.weight;
  }
}

/** Assigns each unit to the eligible server that is the least loaded at that point. */
export function assignToLeastLoaded(units: readonly UnitNumber[], load: UnitLoad): Assignment[] {
  const assignments: Assignment[] = [];
  for (const unit of units) {
    const server = load.leastLoaded();
    if (server === undefined) {
      break;
    }
    load.add(server.id, 1);
    assignments.push({ unit, server: server.id });
  }
  return assignments;
}

/**
 * Returns at most `limit` moves that take units from draining servers and from servers that are no longer in
 * the configuration.
 */
export function planDrain(
  records: Iterable<OwnershipRecord>,
  servers: readonly PlacementServer[],
  load: UnitLoad,
  limit: number,
): Assignment[] {
  const serversById = new Map(servers.map((server) => [server.id, server]));
  const moves: Assignment[] = [];
  for (const record of records) {
    const owner = serversById.get(record.server);
    const mustMove = record.target === null && (owner === undefined || owner.draining);
    const target = mustMove && moves.length < limit ? load.leastLoaded() : undefined;
    if (target !== undefined) {
      load.add(record.server, -1);
      load.add(target.id, 1);
      moves.push({ unit: record.unit, server: target.id });
    }
  }
  return moves;
}

/**
 * Returns at most `limit` moves that balance the servers. There are none while the most loaded server is
 * within the tolerance of the least loaded one, because a unit is unavailable for a short time when it moves.
 */
export function planBalance(
  records: readonly OwnershipRecord[],
  load: UnitLoad,
  tolerancePercent: number,
  limit: number,
): Assignment[] {
  const moves: Assignment[] = [];
  const chosen = new Set<UnitNumber>();
  while (moves.length < limit) {
    const from = load.mostLoaded();
    const to = load.leastLoaded();
    if (from === undefined || to === undefined || from.id === to.id) {
      break;
    }
    const fairCount = (load.countOf(to.id) + 1) / to.weight;
    const allowed = Math.max(
      fairCount * from.weight * (1 + tolerancePercent / 100),
      fairCount * from.weight + 1,
    );
    if (load.countOf(from.id) <= allowed) {
      break;
    }
    const candidates = records.filter(
      (record) => record.server === from.id && record.target === null && !chosen.has(record.unit),
    );
    const unit = preferredUnit(candidates, to.id);
    if (unit === undefined) {
      break;
    }
    chosen.add(unit);
    load.add(from.id, -1);
    load.add(to.id, 1);
    moves.push({ unit, server: to.id });
  }
  return moves;
}

/**
 * Returns the unit that ranks first for the target by rendezvous hashing, so that every leader chooses the
 * same unit.
 */
function preferredUnit(candidates: readonly OwnershipRecord[], target: ServerId): UnitNumber | undefined {
  const names = candidates.map((record) => String(record.unit));
  const first = rendezvousOrder(target, names)[0];
  return first === undefined ? undefined : Number(first);
}
