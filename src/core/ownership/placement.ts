/**
 * Where units go. Pure: from the records of a shard and its servers to the assignments and moves that
 * should be made. Balance is weighed against churn by the group's tolerance.
 */
import type { ServerId, UnitNumber } from '../identifiers.js';
import { rendezvousOrder } from '../hashing.js';
import type { OwnershipRecord } from './ownership-table.js';

/** A server as placement sees it. */
export interface PlacementServer {
  readonly id: ServerId;
  readonly weight: number;
  /** Answers its leader and takes new units. */
  readonly eligible: boolean;
  /** Configured or announced to leave: its units go elsewhere. */
  readonly draining: boolean;
}

/** A unit that goes to a server. */
export interface Assignment {
  readonly unit: UnitNumber;
  readonly server: ServerId;
}

/** Counts units by the server they are on or moving to. */
export class UnitLoad {
  readonly #counts = new Map<ServerId, number>();
  readonly #servers: readonly PlacementServer[];

  constructor(servers: readonly PlacementServer[], records: Iterable<OwnershipRecord>) {
    this.#servers = servers;
    for (const record of records) {
      this.add(record.target ?? record.server, 1);
    }
  }

  /** Adds to a server's count. */
  add(server: ServerId, count: number): void {
    this.#counts.set(server, this.countOf(server) + count);
  }

  /** Units of a server. */
  countOf(server: ServerId): number {
    return this.#counts.get(server) ?? 0;
  }

  /** The eligible server with the fewest units for its weight, or undefined. */
  lightest(): PlacementServer | undefined {
    let best: PlacementServer | undefined;
    for (const server of this.#servers) {
      if (server.eligible && (best === undefined || this.#filling(server) < this.#filling(best))) {
        best = server;
      }
    }
    return best;
  }

  /** The eligible server with the most units for its weight, or undefined. */
  heaviest(): PlacementServer | undefined {
    let best: PlacementServer | undefined;
    for (const server of this.#servers) {
      if (server.eligible && (best === undefined || this.#filling(server) > this.#filling(best))) {
        best = server;
      }
    }
    return best;
  }

  #filling(server: PlacementServer): number {
    return this.countOf(server.id) / server.weight;
  }
}

/** Spreads units over the eligible servers, lightest first. */
export function assignToLightest(units: readonly UnitNumber[], load: UnitLoad): Assignment[] {
  const assignments: Assignment[] = [];
  for (const unit of units) {
    const server = load.lightest();
    if (server === undefined) {
      break;
    }
    load.add(server.id, 1);
    assignments.push({ unit, server: server.id });
  }
  return assignments;
}

/** Moves that take units off draining servers; at most `limit`. */
export function planDrain(
  records: Iterable<OwnershipRecord>,
  servers: readonly PlacementServer[],
  load: UnitLoad,
  limit: number,
): Assignment[] {
  const known = new Map(servers.map((server) => [server.id, server]));
  const moves: Assignment[] = [];
  for (const record of records) {
    const owner = known.get(record.server);
    const mustLeave = record.target === null && (owner === undefined || owner.draining);
    const target = mustLeave && moves.length < limit ? load.lightest() : undefined;
    if (target !== undefined) {
      load.add(record.server, -1);
      load.add(target.id, 1);
      moves.push({ unit: record.unit, server: target.id });
    }
  }
  return moves;
}

/**
 * Moves for balance; at most `limit`. None while the heaviest server is within the tolerance of the
 * lightest: each move costs the moved unit a moment of unavailable time.
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
    const from = load.heaviest();
    const to = load.lightest();
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

/** The unit that rendezvous hashing would soonest give to the target: the same one at every leader. */
function preferredUnit(candidates: readonly OwnershipRecord[], target: ServerId): UnitNumber | undefined {
  const names = candidates.map((record) => String(record.unit));
  const first = rendezvousOrder(target, names)[0];
  return first === undefined ? undefined : Number(first);
}
