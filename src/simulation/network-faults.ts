/** Network faults between daemons, servers, the store and sides. */
import type { Milliseconds } from '../core/identifiers.js';
import { randomBetween, leaderOrRandomDaemon, logFault } from './fault-helpers.js';
import type { World } from './world.js';

function cutNetworkFor(
  world: World,
  duration: Milliseconds,
  text: string,
  blocks: Parameters<World['network']['cut']>[0],
): void {
  logFault(world, `${text} for ${Math.round(duration)} ms`);
  const heal = world.network.cut(blocks);
  world.scheduler.after(duration, heal);
}

function randomSplit(world: World): Set<string> {
  const names = [...world.daemons.map((daemon) => daemon.id), ...world.servers.keys(), 'store'];
  return new Set(names.filter(() => world.random.fraction() < 0.4));
}

/**
 * Partitions daemons, servers and the store into two random groups for a time, in both directions or in one.
 */
export function partition(world: World, duration: Milliseconds, oneWay: boolean): void {
  const isolated = randomSplit(world);
  const text = `${oneWay ? 'one-way cut' : 'partition'} of ${[...isolated].join(' ')}`;
  cutNetworkFor(world, duration, text, (from, to) => {
    if (from.name === 'callers' || to.name === 'callers') {
      return false;
    }
    const leaves = isolated.has(from.name) && !isolated.has(to.name);
    const enters = !isolated.has(from.name) && isolated.has(to.name);
    return leaves || (enters && !oneWay);
  });
}

/** Cuts the link between two sides for a time. Has no effect on a system with one side. */
export function cutLinkBetweenSides(world: World, duration: Milliseconds): void {
  const sideOf = new Map(world.daemons.map((daemon) => [daemon.id, daemon.side]));
  cutNetworkFor(world, duration, 'the link between the sides is cut', (from, to) => {
    const [one, two] = [sideOf.get(from.name), sideOf.get(to.name)];
    return one !== undefined && two !== undefined && one !== two;
  });
}

/**
 * Isolates a leader from the other daemons but not from the servers, so that the leader stays unaware of a
 * successor.
 */
export function isolateLeader(world: World, duration: Milliseconds): void {
  const leader = leaderOrRandomDaemon(world);
  if (leader === undefined) {
    return;
  }
  const daemons = new Set(world.daemons.map((daemon) => daemon.id));
  cutNetworkFor(world, duration, `${leader.id} is isolated from the other daemons`, (from, to) => {
    const involved = from.name === leader.id || to.name === leader.id;
    return involved && daemons.has(from.name) && daemons.has(to.name);
  });
}

/** Loses, delays and duplicates messages for a time. */
export function degradeNetwork(world: World, duration: Milliseconds): void {
  logFault(world, `message loss, duplication and delay for ${Math.round(duration)} ms`);
  const { network, random } = world;
  network.lossProbability = randomBetween(random, 0, 0.15);
  network.duplicateProbability = randomBetween(random, 0, 0.3);
  network.extraDelay = randomBetween(random, 0, 150);
  world.scheduler.after(duration, () => {
    network.lossProbability = 0;
    network.duplicateProbability = 0;
    network.extraDelay = 0;
  });
}
