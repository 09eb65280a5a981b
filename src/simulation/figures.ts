/**
 * Measures the ownership policy: what the loss of a process costs in unavailable time, moved units and
 * imbalance. The results are deterministic (virtual time, fixed seeds); test/simulation/test-figures.ts
 * checks their bounds.
 */
import type { Milliseconds } from '../core/identifiers.js';
import { getSystem } from '../emulator/systems.js';
import { stopGracefully } from './faults.js';
import { createWorld } from './run.js';
import type { World } from './world.js';

const LOSS_AT: Milliseconds = 6_000;
const MEASURING_TIME: Milliseconds = 12_000;

/** Events that take away servers or daemons, by crash, drain or planned stop. */
export const LOSSES = [
  'server',
  'leader',
  'server-and-leader',
  'zone',
  'server-with-store-down',
  'drain',
  'leader-stopped',
] as const;
export type Loss = (typeof LOSSES)[number];

/** Cost of one kind of event over several seeds. */
export interface LossFigures {
  readonly loss: Loss;
  readonly seeds: number;
  readonly unitsUnavailable: number;
  readonly medianOutage: Milliseconds;
  readonly p99Outage: Milliseconds;
  readonly longestOutage: Milliseconds;
  readonly ownerChanges: number;
  /** Owner changes of units whose owner was neither lost nor draining. */
  readonly needlessChanges: number;
  /** Highest number of units on a server divided by the mean, after the event. */
  readonly imbalance: number;
}

function keyedServerIds(world: World): string[] {
  const [first] = world.daemons;
  const group = first?.state.configuration.configuration?.groups.find(
    (candidate) => candidate.kind === 'keyed',
  );
  return (group?.servers ?? []).map((server) => server.id);
}

function ownersByUnit(world: World): Map<number, string> {
  const working = world.daemons.find((daemon) => daemon.working);
  const tables = [...(working?.state.tables.shards.values() ?? [])];
  return new Map(
    tables.flatMap(({ table }) =>
      [...table.records.values()].map((record) => [record.unit, record.server] as const),
    ),
  );
}

function findLeader(world: World): World['daemons'][number] | undefined {
  return world.daemons.find((daemon) => daemon.state.leaderships.size > 0);
}

/** Triggers an event. Returns the servers whose units must move. */
function triggerLoss(world: World, loss: Loss): Set<string> {
  const servers = keyedServerIds(world);
  const victim = world.random.pick(servers) ?? '';
  switch (loss) {
    case 'server':
      world.server(victim).crash();
      return new Set([victim]);
    case 'leader':
      findLeader(world)?.crash();
      return new Set();
    case 'server-and-leader':
      world.server(victim).crash();
      findLeader(world)?.crash();
      return new Set([victim]);
    case 'server-with-store-down':
      world.store.fault = 'down';
      world.server(victim).crash();
      return new Set([victim]);
    case 'zone':
      return crashLeaderZone(world, servers);
    case 'drain':
      world.server(victim).model.draining = true;
      return new Set([victim]);
    case 'leader-stopped':
      stopGracefully(world, findLeader(world));
      return new Set();
  }
}

function crashLeaderZone(world: World, servers: readonly string[]): Set<string> {
  const zone = findLeader(world)?.endpoint.zone ?? '';
  world.daemons.filter((daemon) => daemon.endpoint.zone === zone).forEach((daemon) => daemon.crash());
  const lost = servers.filter((id) => world.server(id).endpoint.zone === zone);
  lost.forEach((id) => world.server(id).crash());
  return new Set(lost);
}

function percentile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

function imbalanceOf(owners: ReadonlyMap<number, string>, servers: number): number {
  const counts = new Map<string, number>();
  for (const owner of owners.values()) {
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  return Math.max(...counts.values()) / (owners.size / servers);
}

/** Measures one kind of event with each of the seeds 1 to `seeds`. */
export function measureLoss(loss: Loss, seeds: number): LossFigures {
  const outages: number[] = [];
  let ownerChanges = 0;
  let needlessChanges = 0;
  let imbalance = 0;
  for (let seed = 1; seed <= seeds; seed += 1) {
    const world = createWorld(getSystem(), { seed }, 6);
    world.scheduler.runUntil(LOSS_AT);
    const before = ownersByUnit(world);
    world.availability.reset();
    const lost = triggerLoss(world, loss);
    world.scheduler.runUntil(LOSS_AT + MEASURING_TIME);
    const after = ownersByUnit(world);
    outages.push(...world.availability.outages());
    const changed = [...after].filter(([unit, owner]) => before.get(unit) !== owner);
    ownerChanges += changed.length;
    needlessChanges += changed.filter(([unit]) => !lost.has(before.get(unit) ?? '')).length;
    imbalance = Math.max(imbalance, imbalanceOf(after, keyedServerIds(world).length - lost.size));
  }
  outages.sort((left, right) => left - right);
  return {
    loss,
    seeds,
    unitsUnavailable: outages.length,
    medianOutage: percentile(outages, 0.5),
    p99Outage: percentile(outages, 0.99),
    longestOutage: outages.at(-1) ?? 0,
    ownerChanges,
    needlessChanges,
    imbalance,
  };
}
