import { expect } from 'earl';
import { describe, it } from 'node:test';
import { createTwoSidedWorld, startHandOvers } from '../../../src/simulation/two-sides.js';
import type { World } from '../../../src/simulation/world.js';

const UNIT = 5;

function ownersOn(world: World, side: string): Set<string | undefined> {
  const daemons = world.daemons.filter((daemon) => daemon.side === side);
  return new Set(
    daemons.map((daemon) => daemon.state.tables.shards.get('rakstatus/0')?.table.records.get(UNIT)?.server),
  );
}

function handOver(world: World, side: string, target: string): void {
  const daemon = world.daemons.find((candidate) => candidate.side === side);
  if (daemon !== undefined) {
    world.sendOperatorCommand(daemon, { action: 'handOver', group: 'rakstatus', unit: UNIT, target });
  }
}

describe('hand-over of units between sides', () => {
  it('moves a unit to the other side and back', () => {
    const world = createTwoSidedWorld({ seed: 1 });
    world.scheduler.runUntil(5_000);
    handOver(world, 'klang-valley', 'kota-tinggi');
    world.scheduler.runUntil(7_000);
    expect(ownersOn(world, 'klang-valley')).toEqual(new Set(['side:kota-tinggi']));
    expect([...ownersOn(world, 'kota-tinggi')][0]?.startsWith('kota-')).toEqual(true);
    handOver(world, 'kota-tinggi', 'klang-valley');
    world.scheduler.runUntil(9_000);
    expect(ownersOn(world, 'kota-tinggi')).toEqual(new Set(['side:klang-valley']));
    expect([...ownersOn(world, 'klang-valley')][0]?.startsWith('rakstatus-')).toEqual(true);
  });

  it('leaves the unit without an owner during a network partition, and completes afterwards', () => {
    const world = createTwoSidedWorld({ seed: 2 });
    world.scheduler.runUntil(5_000);
    const sideOf = new Map(world.daemons.map((daemon) => [daemon.id, daemon.side]));
    const heal = world.network.cut((from, to) => sideOf.get(from.name) !== sideOf.get(to.name));
    handOver(world, 'klang-valley', 'kota-tinggi');
    world.scheduler.runUntil(8_000);
    expect(ownersOn(world, 'kota-tinggi')).toEqual(new Set([undefined]));
    heal();
    world.scheduler.runUntil(10_000);
    expect([...ownersOn(world, 'kota-tinggi')][0]?.startsWith('kota-')).toEqual(true);
    expect(world.history.violations).toEqual([]);
  });

  it('refuses a side that is not configured, and a unit that already belongs to the other side', () => {
    const world = createTwoSidedWorld({ seed: 3 });
    world.scheduler.runUntil(5_000);
    const replies: string[] = [];
    const [daemon] = world.daemons;
    const requestHandOver = (target: string): void => {
      if (daemon !== undefined) {
        const command = { action: 'handOver', group: 'rakstatus', unit: UNIT, target } as const;
        world.sendOperatorCommand(daemon, command, (_, detail) => replies.push(detail));
      }
    };
    requestHandOver('nowhere');
    requestHandOver('kota-tinggi');
    world.scheduler.runUntil(7_000);
    requestHandOver('kota-tinggi');
    world.scheduler.runUntil(8_000);
    expect(replies[0]).toEqual('no side nowhere in the configuration; there are: kota-tinggi');
    expect(replies[2]).toEqual('unit 5 belongs to side kota-tinggi: ask there');
  });

  it('keeps at most one owner for each unit during continuous hand-overs', () => {
    const world = createTwoSidedWorld({ seed: 4 });
    startHandOvers(world, 12_000);
    world.scheduler.runUntil(14_000);
    expect(world.history.violations).toEqual([]);
  });
});
