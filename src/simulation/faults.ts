/**
 * Faults that the simulation injects. Each fault starts at a given time and ends after a given duration.
 */
import type { Milliseconds } from '../core/identifiers.js';
import type { StoreFault } from '../emulator/store-model.js';
import { leaderOrRandomDaemon, logFault } from './fault-helpers.js';
import { degradeNetwork, isolateLeader, cutLinkBetweenSides, partition } from './network-faults.js';
import { runConfigurationBurst, drainRandomServer, runConcurrentCommands } from './operator-faults.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { SimulatedProcess } from './simulated-process.js';
import type { World } from './world.js';

/** All kinds of faults. */
export const FAULT_KINDS = [
  'daemon-crash',
  'leader-crash',
  'daemon-pause',
  'leader-pause',
  'server-crash',
  'server-freeze',
  'partition',
  'one-way-cut',
  'leader-cut',
  'store-down',
  'store-slow',
  'store-lose-answers',
  'network-bad',
  'operator-race',
  'configuration-burst',
  'drain',
  'planned-stop',
  'side-cut',
  'total-restart',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

const DRAIN_POLL_INTERVAL: Milliseconds = 20;
/**
 * Minimum time from the start of a planned stop to the exit, so that the daemon's messages are sent before it
 * exits.
 */
const MIN_STOP_TIME: Milliseconds = 200;
const PLANNED_STOP_TIMEOUT: Milliseconds = 10_000;

function crashProcess(world: World, process: SimulatedProcess | undefined, downFor: Milliseconds): void {
  if (process?.alive !== true) {
    return;
  }
  logFault(world, `${process.endpoint.name} crashes for ${Math.round(downFor)} ms`);
  process.crash();
  world.scheduler.after(downFor, () => {
    logFault(world, `${process.endpoint.name} restarts`);
    process.restart();
  });
}

function pauseProcess(world: World, process: SimulatedProcess | undefined, duration: Milliseconds): void {
  if (process === undefined || !process.working) {
    return;
  }
  logFault(world, `${process.endpoint.name} is paused for ${Math.round(duration)} ms`);
  const { life } = process;
  process.pause();
  world.scheduler.after(duration, () => {
    if (process.life === life) {
      logFault(world, `${process.endpoint.name} resumes`);
      process.resume();
    }
  });
}

function injectStoreFault(world: World, fault: StoreFault, duration: Milliseconds): void {
  logFault(world, `store fault ${fault} for ${Math.round(duration)} ms`);
  world.store.fault = fault;
  world.scheduler.after(duration, () => {
    world.store.fault = 'none';
  });
}

/** Stops a random working daemon gracefully. */
function stopRandomDaemon(world: World): void {
  const daemon = world.random.pick(
    world.daemons.filter((candidate) => candidate.working && !candidate.stopping),
  );
  stopGracefully(world, daemon);
}

/**
 * Stops a daemon gracefully: the daemon accepts no new requests, finishes its open requests, and is
 * restarted.
 */
export function stopGracefully(world: World, daemon: SimulatedDaemon | undefined): void {
  if (daemon === undefined) {
    return;
  }
  logFault(world, `planned stop of ${daemon.id}`);
  daemon.stopping = true;
  daemon.dispatch({ kind: 'stopping' });
  const { life } = daemon;
  const deadline = world.now + PLANNED_STOP_TIMEOUT;
  const poll = (): void => {
    if (daemon.life !== life) {
      return;
    }
    const openRequests = daemon.state.requests.active.size;
    if (openRequests > 0 && world.now < deadline) {
      world.scheduler.after(DRAIN_POLL_INTERVAL, poll);
      return;
    }
    if (openRequests > 0) {
      world.history.recordViolation(
        'planned-stop-cuts-nothing',
        world.now,
        `${daemon.id} stopped with ${openRequests} open requests`,
      );
    }
    daemon.crash();
    world.scheduler.after(DRAIN_POLL_INTERVAL, () => daemon.restart());
  };
  world.scheduler.after(MIN_STOP_TIME, poll);
}

/** Starts a fault now; faults that last end after `duration`. */
export function injectFault(world: World, kind: FaultKind, duration: Milliseconds): void {
  const { random } = world;
  const servers = [...world.servers.values()].filter((server) => server.alive);
  const daemons = world.daemons.filter((daemon) => daemon.alive && !daemon.stopping);
  switch (kind) {
    case 'daemon-crash':
      return crashProcess(world, random.pick(daemons), duration);
    case 'leader-crash':
      return crashProcess(world, leaderOrRandomDaemon(world), duration);
    case 'daemon-pause':
      return pauseProcess(world, random.pick(daemons), duration);
    case 'leader-pause':
      return pauseProcess(world, leaderOrRandomDaemon(world), duration);
    case 'server-crash':
      return crashProcess(world, random.pick(servers), duration);
    case 'server-freeze':
      return pauseProcess(world, random.pick(servers), duration);
    case 'partition':
      return partition(world, duration, false);
    case 'one-way-cut':
      return partition(world, duration, true);
    case 'total-restart':
      return daemons.forEach((daemon) => crashProcess(world, daemon, duration));
    case 'side-cut':
      return cutLinkBetweenSides(world, duration);
    case 'leader-cut':
      return isolateLeader(world, duration);
    case 'store-down':
      return injectStoreFault(world, 'down', duration);
    case 'store-slow':
      return injectStoreFault(world, 'slow', duration);
    case 'store-lose-answers':
      return injectStoreFault(world, 'lose-answers', duration);
    case 'network-bad':
      return degradeNetwork(world, duration);
    case 'operator-race':
      return runConcurrentCommands(world);
    case 'configuration-burst':
      return runConfigurationBurst(world);
    case 'drain':
      return drainRandomServer(world, duration);
    case 'planned-stop':
      return stopRandomDaemon(world);
  }
}
