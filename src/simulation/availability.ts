/**
 * Measures how long units are unavailable by sampling the actual state of the simulated processes. A unit is
 * available when a working server holds it under a valid lease and most working daemons of one side route to
 * that server at that epoch.
 */
import type { Milliseconds, UnitNumber } from '../core/identifiers.js';
import { shardOfUnit } from '../core/configuration/shard-layout.js';
import type { GroupConfiguration } from '../core/configuration/routing-configuration.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { SimulatedServer } from './simulated-server.js';

/** Time between two samples, which is also the resolution of the measured outages. */
export const SAMPLE_INTERVAL: Milliseconds = 20;

/** Samples the availability of the units of one keyed group. */
export class AvailabilitySampler {
  readonly #group: GroupConfiguration;
  readonly #unavailableSince = new Map<UnitNumber, Milliseconds>();
  readonly #longestOutages = new Map<UnitNumber, Milliseconds>();
  readonly #owners = new Map<UnitNumber, string>();
  ownerChanges = 0;

  constructor(group: GroupConfiguration) {
    this.#group = group;
  }

  /**
   * Discards the recorded outages and owner changes. An outage that is still going on is counted from its
   * beginning.
   */
  reset(): void {
    this.#longestOutages.clear();
    this.ownerChanges = 0;
  }

  /** Samples all units at a virtual time. */
  sample(
    daemons: readonly SimulatedDaemon[],
    servers: ReadonlyMap<string, SimulatedServer>,
    now: Milliseconds,
  ): void {
    const working = daemons.filter((daemon) => daemon.working);
    const sides = [...new Set(working.map((daemon) => daemon.side))];
    const daemonsOfSides = sides.map((side) => working.filter((daemon) => daemon.side === side));
    for (let unit = 0; unit < this.#group.slots; unit += 1) {
      const available = daemonsOfSides.some((ofSide) => this.#isAvailable(unit, ofSide, servers));
      if (available) {
        this.#unavailableSince.delete(unit);
        continue;
      }
      const since = this.#unavailableSince.get(unit) ?? now;
      this.#unavailableSince.set(unit, since);
      const length = now - since + SAMPLE_INTERVAL;
      this.#longestOutages.set(unit, Math.max(length, this.#longestOutages.get(unit) ?? 0));
    }
  }

  /** Returns the longest outage of each unit that had one, in ascending order. */
  outages(): Milliseconds[] {
    return [...this.#longestOutages.values()].sort((left, right) => left - right);
  }

  #isAvailable(
    unit: UnitNumber,
    working: readonly SimulatedDaemon[],
    servers: ReadonlyMap<string, SimulatedServer>,
  ): boolean {
    const shard = shardOfUnit(this.#group, unit);
    let agreeing = 0;
    for (const daemon of working) {
      const record = daemon.state.tables.shards.get(shard)?.table.records.get(unit);
      const server = record === undefined ? undefined : servers.get(record.server);
      if (record === undefined || record.target !== null || server?.working !== true) {
        continue;
      }
      if (server.model.ownedEpoch(unit, server.clock) === record.epoch) {
        agreeing += 1;
        this.#recordOwner(unit, record.server);
      }
    }
    return agreeing * 2 > working.length;
  }

  #recordOwner(unit: UnitNumber, owner: string): void {
    const before = this.#owners.get(unit);
    if (before !== undefined && before !== owner) {
      this.ownerChanges += 1;
    }
    this.#owners.set(unit, owner);
  }
}
