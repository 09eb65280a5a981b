/** Helpers shared by all faults: random durations, log lines in the history, and the choice of a daemon. */
import type { Milliseconds } from '../core/identifiers.js';
import type { SeededRandom } from '../core/random.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { World } from './world.js';

/** Returns a random number between two bounds. */
export function randomBetween(random: SeededRandom, min: Milliseconds, max: Milliseconds): Milliseconds {
  return min + random.fraction() * (max - min);
}

/** Logs a fault in the timeline of the run. */
export function logFault(world: World, text: string): void {
  world.history.logLine(world.now, `FAULT ${text}`);
}

/** Returns a working daemon that leads a shard, or a random working daemon if none leads. */
export function leaderOrRandomDaemon(world: World): SimulatedDaemon | undefined {
  const working = world.daemons.filter((daemon) => daemon.working && !daemon.stopping);
  return working.find((daemon) => daemon.state.leaderships.size > 0) ?? world.random.pick(working);
}
