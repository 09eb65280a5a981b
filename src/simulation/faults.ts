/**
 * Faults that the simulation injects. Each fault starts at a given time and ends after a given duration.
 */
import type { Milliseconds } from '../core/identifiers.js';
import type { StoreFault } from '../emulator/store-model.js';
import { leaderOrAny, note } from './fault-helpers.js';
import { badNetwork, cutLeader, cutSides, partition } from './network-faults.js';
import { configurationBurst, drain, operatorRace } from './operator-faults.js';
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

const DRAIN_POLL: Milliseconds = 20;
/**
 * Minimum time from the start of a planned stop to the exit, so that the daemon's messages are sent before it
 * exits.
 */
const LEAST_STOP_TIME: Milliseconds = 200;
const PLANNED_STOP_PATIENCE: Milliseconds = 10_000;

function crash(world: World, process: SimulatedProcess | undefined, downFor: Milliseconds): void {
  if (process?.alive !== true) {
    return;
  }
  note(world, `${process.endpoint.name} crashes for ${Math.round(downFor)} ms`);
  process.crash();
  world.scheduler.after(downFor, () => {
    note(world, `${process.endpoint.name} restarts`);
    process.restart();
  });
}

function pause(world: World, process: SimulatedProcess | undefined, duration: Milliseconds): void {
  if (process === undefined || !process.working) {
    return;
  }
  note(world, `${process.endpoint.name} is paused for ${Math.round(duration)} ms`);
  const { life } = process;
  process.pause();
  world.scheduler.after(duration, () => {
    if (process.life === life) {
      note(world, `${process.endpoint.name} resumes`);
      process.resume();
    }
  });
}

function storeFault(world: World, fault: StoreFault, duration: Milliseconds): void {
  note(world, `store fault ${fault} for ${Math.round(duration)} ms`);
  world.store.fault = fault;
  world.scheduler.after(duration, () => {
    world.store.fault = 'none';
  });
}

/** Stops a random working daemon gracefully. */
function plannedStop(world: World): void {
  const daemon = world.random.pick(
    world.daemons.filter((candidate) => candidate.working && !candidate.stopping),
  );
  stopAsPlanned(world, daemon);
}

/**
 * Stops a daemon gracefully: the daemon accepts no new requests, finishes its open requests, and is
 * restarted.
 */
export function stopAsPlanned(world: World, daemon: SimulatedDaemon | undefined): void {
  if (daemon === undefined) {
    return;
  }
  note(world, `planned stop of ${daemon.id}`);
  daemon.stopping = true;
  daemon.dispatch({ kind: 'stopping' });
  const { life } = daemon;
  const deadline = world.now + PLANNED_STOP_PATIENCE;
  const poll = (): void => {
    if (daemon.life !== life) {
      return;
    }
    const openRequests = daemon.state.requests.active.size;
    if (openRequests > 0 && world.now < deadline) {
      world.scheduler.after(DRAIN_POLL, poll);
      return;
    }
    if (openRequests > 0) {
      world.history.violate(
        'planned-stop-cuts-nothing',
        world.now,
        `${daemon.id} stopped with ${openRequests} open requests`,
      );
    }
    daemon.crash();
    world.scheduler.after(DRAIN_POLL, () => daemon.restart());
  };
  world.scheduler.after(LEAST_STOP_TIME, poll);
}

/** Starts a fault now; faults that last end after `duration`. */
export function beginFault(world: World, kind: FaultKind, duration: Milliseconds): void {
  const { random } = world;
  const servers = [...world.servers.values()].filter((server) => server.alive);
  const daemons = world.daemons.filter((daemon) => daemon.alive && !daemon.stopping);
  switch (kind) {
    case 'daemon-crash':
      return crash(world, random.pick(daemons), duration);
    case 'leader-crash':
      return crash(world, leaderOrAny(world), duration);
    case 'daemon-pause':
      return pause(world, random.pick(daemons), duration);
    case 'leader-pause':
      return pause(world, leaderOrAny(world), duration);
    case 'server-crash':
      return crash(world, random.pick(servers), duration);
    case 'server-freeze':
      return pause(world, random.pick(servers), duration);
    case 'partition':
      return partition(world, duration, false);
    case 'one-way-cut':
      return partition(world, duration, true);
    case 'total-restart':
      return daemons.forEach((daemon) => crash(world, daemon, duration));
    case 'side-cut':
      return cutSides(world, duration);
    case 'leader-cut':
      return cutLeader(world, duration);
    case 'store-down':
      return storeFault(world, 'down', duration);
    case 'store-slow':
      return storeFault(world, 'slow', duration);
    case 'store-lose-answers':
      return storeFault(world, 'lose-answers', duration);
    case 'network-bad':
      return badNetwork(world, duration);
    case 'operator-race':
      return operatorRace(world);
    case 'configuration-burst':
      return configurationBurst(world);
    case 'drain':
      return drain(world, duration);
    case 'planned-stop':
      return plannedStop(world);
  }
}
