/** Faults of the network between daemons, and between two sides. */
import type { Milliseconds } from '../core/identifiers.js';
import { between, leaderOrAny, note } from './fault-helpers.js';
import type { World } from './world.js';

function cutFor(
  world: World,
  duration: Milliseconds,
  text: string,
  blocks: Parameters<World['network']['cut']>[0],
): void {
  note(world, `${text} for ${Math.round(duration)} ms`);
  const heal = world.network.cut(blocks);
  world.scheduler.after(duration, heal);
}

function randomSplit(world: World): Set<string> {
  const names = [...world.daemons.map((daemon) => daemon.id), ...world.servers.keys(), 'store'];
  return new Set(names.filter(() => world.random.fraction() < 0.4));
}

/** Cuts the daemons into two groups, both ways or one way, for a time. */
export function partition(world: World, duration: Milliseconds, oneWay: boolean): void {
  const apart = randomSplit(world);
  const text = `${oneWay ? 'one-way cut' : 'partition'} of ${[...apart].join(' ')}`;
  cutFor(world, duration, text, (from, to) => {
    if (from.name === 'callers' || to.name === 'callers') {
      return false;
    }
    const leaves = apart.has(from.name) && !apart.has(to.name);
    const enters = !apart.has(from.name) && apart.has(to.name);
    return leaves || (enters && !oneWay);
  });
}

/** Cuts the link between two sides. With one side there is nothing to cut. */
export function cutSides(world: World, duration: Milliseconds): void {
  const sideOf = new Map(world.daemons.map((daemon) => [daemon.id, daemon.side]));
  cutFor(world, duration, 'the link between the sides is cut', (from, to) => {
    const [one, two] = [sideOf.get(from.name), sideOf.get(to.name)];
    return one !== undefined && two !== undefined && one !== two;
  });
}

/** Cuts a leader off from the other daemons but not from the servers: it goes on believing that it leads. */
export function cutLeader(world: World, duration: Milliseconds): void {
  const leader = leaderOrAny(world);
  if (leader === undefined) {
    return;
  }
  const daemons = new Set(world.daemons.map((daemon) => daemon.id));
  cutFor(world, duration, `${leader.id} is cut off from the daemons`, (from, to) => {
    const involved = from.name === leader.id || to.name === leader.id;
    return involved && daemons.has(from.name) && daemons.has(to.name);
  });
}

/** Messages are lost, late and doubled for a time. */
export function badNetwork(world: World, duration: Milliseconds): void {
  note(world, `bad network for ${Math.round(duration)} ms`);
  const { network, random } = world;
  network.lossShare = between(random, 0, 0.15);
  network.duplicateShare = between(random, 0, 0.3);
  network.extraDelay = between(random, 0, 150);
  world.scheduler.after(duration, () => {
    network.lossShare = 0;
    network.duplicateShare = 0;
    network.extraDelay = 0;
  });
}
