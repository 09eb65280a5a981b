/**
 * Checkers that verify the guarantees during a run. They inspect the actual state of the simulated servers
 * and daemons, not what the daemons report about themselves.
 */
import type { Epoch, Milliseconds, ServerId, ShardId, UnitNumber } from '../core/identifiers.js';
import type { ShardObject } from '../core/ownership/shard-object.js';
import type { History } from './history.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { SimulatedServer } from './simulated-server.js';

const TERMS_PER_GENERATION = 1_000_000;

/**
 * Checks that at most one server owns a unit: holds it under a lease that is valid on the server's own clock.
 */
export class SingleOwnerChecker {
  readonly #history: History;
  readonly #groups: readonly (readonly SimulatedServer[])[];
  readonly #reported = new Set<string>();

  /** @param groups the servers of each keyed group; unit numbers of different groups are unrelated */
  constructor(history: History, groups: readonly (readonly SimulatedServer[])[]) {
    this.#history = history;
    this.#groups = groups;
  }

  /** Checks the units of a server after the server has executed a control request. */
  checkAfterControl(server: SimulatedServer, now: Milliseconds): void {
    const peers = this.#groups.find((group) => group.includes(server)) ?? [];
    for (const { unit, epoch } of server.model.ownedUnits(server.clock)) {
      for (const other of peers) {
        const otherEpoch =
          other === server || !other.alive ? undefined : other.model.ownedEpoch(unit, other.clock);
        if (otherEpoch !== undefined) {
          this.#report(now, unit, [server.endpoint.name, epoch], [other.endpoint.name, otherEpoch]);
        }
      }
    }
  }

  #report(now: Milliseconds, unit: UnitNumber, one: [ServerId, Epoch], two: [ServerId, Epoch]): void {
    const key = `${unit}:${[one[0], two[0]].sort().join()}`;
    if (!this.#reported.has(key)) {
      this.#reported.add(key);
      const detail = `unit ${unit} is owned by ${one[0]} at epoch ${one[1]} and by ${two[0]} at epoch ${two[1]}`;
      this.#history.recordViolation('single-owner', now, detail);
    }
  }
}

interface AcknowledgedUnit {
  readonly epoch: Epoch;
  readonly server: ServerId;
}

/** Returns a number that orders leaders by generation, then by term. */
function leaderRank({ generation, term }: { readonly generation: number; readonly term: number }): number {
  return generation * TERMS_PER_GENERATION + term;
}

/** Returns a key that is unique across sides: two sides may have shards of the same name. */
function shardKey(daemon: SimulatedDaemon, shard: ShardId): string {
  return `${daemon.side}:${shard}`;
}

/** Reads a shard's object from the store of a side. */
export type ReadShardObject = (side: string, shard: ShardId) => ShardObject | null;

/**
 * Checks that an assignment which a leader has acknowledged, or a newer one, is in the table of every later
 * leader of the same generation. A generation that was formed from the store must contain the assignments in
 * the store: only those are guaranteed to survive the loss of all replicas.
 */
export class AcknowledgedUnitsChecker {
  readonly #history: History;
  readonly #acknowledged = new Map<string, Map<UnitNumber, AcknowledgedUnit>>();
  readonly #checkedIndexes = new Map<string, number>();
  readonly #newestTerm = new Map<string, number>();
  readonly #generations = new Map<string, number>();
  readonly #readObject: ReadShardObject;
  #reported = false;

  constructor(history: History, readObject: ReadShardObject) {
    this.#history = history;
    this.#readObject = readObject;
  }

  /** Checks a daemon's leaderships after each of its events. */
  observe(daemon: SimulatedDaemon, now: Milliseconds): void {
    for (const [shard, leadership] of daemon.state.leaderships) {
      const { replica, ready } = leadership;
      const seenKey = `${daemon.id}#${daemon.life}:${shard}:${replica.term}`;
      if (ready && this.#checkedIndexes.get(seenKey) !== replica.appliedIndex) {
        this.#checkedIndexes.set(seenKey, replica.appliedIndex);
        this.#compare(daemon, shard, now);
      }
    }
  }

  #compare(daemon: SimulatedDaemon, shard: ShardId, now: Milliseconds): void {
    const known = this.#acknowledgedUnits(daemon, shard);
    const records = daemon.state.leaderships.get(shard)?.replica.table.records ?? new Map();
    for (const [unit, before] of known) {
      const record = records.get(unit);
      const same = record?.epoch === before.epoch && record.server === before.server;
      const lost =
        record === undefined || record.epoch < before.epoch || (record.epoch === before.epoch && !same);
      if (lost && !this.#isDeposed(daemon, shard) && !this.#reported) {
        this.#reported = true;
        const found = record === undefined ? 'no record' : `${record.server} at epoch ${record.epoch}`;
        const detail = `${shard} unit ${unit}: ${before.server} at epoch ${before.epoch} was acknowledged, but leader ${daemon.id} has ${found}`;
        this.#history.recordViolation('acknowledged-survives', now, detail);
      }
    }
    for (const [unit, { epoch, server }] of records) {
      if (epoch >= (known.get(unit)?.epoch ?? 0)) {
        known.set(unit, { epoch, server });
      }
    }
  }

  #acknowledgedUnits(daemon: SimulatedDaemon, shard: ShardId): Map<UnitNumber, AcknowledgedUnit> {
    const scope = shardKey(daemon, shard);
    const generation = daemon.state.leaderships.get(shard)?.replica.generation ?? 0;
    const before = this.#generations.get(scope) ?? generation;
    let known = this.#acknowledged.get(scope);
    if (known === undefined || generation > before) {
      known =
        generation > before
          ? this.#unitsInStore(daemon.side, shard)
          : new Map<UnitNumber, AcknowledgedUnit>();
      this.#acknowledged.set(scope, known);
    }
    this.#generations.set(scope, Math.max(generation, before));
    return known;
  }

  #unitsInStore(side: string, shard: ShardId): Map<UnitNumber, AcknowledgedUnit> {
    const holdings = this.#readObject(side, shard)?.table.holdings ?? [];
    return new Map(
      holdings.flatMap(({ server, units, epochs }) =>
        units.map((unit, index) => [unit, { server, epoch: epochs[index] ?? 0 }] as const),
      ),
    );
  }

  /**
   * Returns whether a newer leader has been elected. A deposed leader that has not noticed yet may have an
   * outdated table, which is harmless since it can no longer commit, and so acknowledges nothing.
   */
  #isDeposed(daemon: SimulatedDaemon, shard: ShardId): boolean {
    const replica = daemon.state.leaderships.get(shard)?.replica;
    const newest = this.#newestTerm.get(shardKey(daemon, shard)) ?? 0;
    return replica !== undefined && leaderRank(replica) < newest;
  }

  /** Records the newest term of each shard that has a leader. */
  recordTerms(daemon: SimulatedDaemon): void {
    for (const [shard, { replica }] of daemon.state.leaderships) {
      const scope = shardKey(daemon, shard);
      this.#newestTerm.set(scope, Math.max(this.#newestTerm.get(scope) ?? 0, leaderRank(replica)));
    }
  }
}

/**
 * Checks that a daemon never reverts to an older configuration and that accepted versions finally reach all
 * daemons.
 */
export class ConfigurationChecker {
  readonly #history: History;
  readonly #versions = new Map<string, number>();
  /** Newest accepted version by side: each side has its own configuration. */
  readonly #accepted = new Map<string, number>();

  constructor(history: History) {
    this.#history = history;
  }

  /** Checks a daemon's configuration version after each of its events. */
  observe(daemon: SimulatedDaemon, now: Milliseconds): void {
    const key = `${daemon.id}#${daemon.life}`;
    const { version } = daemon.state.configuration;
    const before = this.#versions.get(key) ?? 0;
    if (version === before) {
      return;
    }
    this.#versions.set(key, version);
    if (version < before) {
      this.#history.recordViolation(
        'configuration-in-force',
        now,
        `${daemon.id} reverted from version ${before} to ${version}`,
      );
    }
  }

  /** Records that a configuration version was reported to an operator of a side as accepted. */
  accepted(side: string, version: number): void {
    this.#accepted.set(side, Math.max(this.#accepted.get(side) ?? 0, version));
  }

  /**
   * Checks the final state. Call it when no fault was active for longer than a configuration may take to
   * propagate.
   */
  checkFinalState(
    daemons: readonly SimulatedDaemon[],
    storeVersionOf: (side: string) => number,
    now: Milliseconds,
  ): void {
    for (const [side, accepted] of this.#accepted) {
      if (storeVersionOf(side) < accepted) {
        this.#history.recordViolation(
          'configuration-in-force',
          now,
          `${side}: accepted version ${accepted} is missing from the store`,
        );
      }
    }
    for (const daemon of daemons) {
      const { version } = daemon.state.configuration;
      const accepted = this.#accepted.get(daemon.side) ?? 0;
      if (daemon.working && version < accepted) {
        const detail = `${daemon.id} has version ${version} in force, but version ${accepted} was accepted`;
        this.#history.recordViolation('configuration-in-force', now, detail);
      }
    }
  }
}

/**
 * Checks that a server receives no new requests once its drain has been accepted and a grace period has
 * passed.
 */
export class DrainChecker {
  readonly #history: History;
  readonly #drainedAt = new Map<ServerId, Milliseconds>();
  readonly #grace: Milliseconds;

  constructor(history: History, grace: Milliseconds) {
    this.#history = history;
    this.#grace = grace;
  }

  /** Records that a server's drain, or the end of its drain, was accepted. */
  changed(server: ServerId, draining: boolean, now: Milliseconds): void {
    if (draining) {
      this.#drainedAt.set(server, now);
    } else {
      this.#drainedAt.delete(server);
    }
  }

  /** Checks a request that a server has just admitted. */
  checkAdmission(server: ServerId, now: Milliseconds): void {
    const since = this.#drainedAt.get(server);
    if (since !== undefined && now > since + this.#grace) {
      this.#drainedAt.delete(server);
      const detail = `${server} admitted a request ${Math.round(now - since)} ms after its drain was accepted`;
      this.#history.recordViolation('leaving-gets-no-work', now, detail);
    }
  }
}
