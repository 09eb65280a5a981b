/** What faults of every kind need: a length of time, a line of the history, whom to strike. */
import type { Milliseconds } from '../core/identifiers.js';
import type { SeededRandom } from '../core/random.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { World } from './world.js';

/** A length of time drawn between two bounds. */
export function between(random: SeededRandom, least: Milliseconds, most: Milliseconds): Milliseconds {
  return least + random.fraction() * (most - least);
}

/** Writes a line into the history of the run. */
export function note(world: World, text: string): void {
  world.history.note(world.now, `FAULT ${text}`);
}

/** A daemon that leads, or any that lives when none does. */
export function leaderOrAny(world: World): SimulatedDaemon | undefined {
  const working = world.daemons.filter((daemon) => daemon.working && !daemon.stopping);
  return working.find((daemon) => daemon.state.leaderships.size > 0) ?? world.random.pick(working);
}
