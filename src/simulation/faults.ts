/**
 * What fails, from the users' brief, as faults that begin at some time and are over some time later.
 */
import { editConfiguration } from '../admin/configuration-edits.js';
import type { Milliseconds } from '../core/identifiers.js';
import type { SeededRandom } from '../core/random.js';
import type { StoreFault } from '../emulator/store-model.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { SimulatedProcess } from './simulated-process.js';
import type { World } from './world.js';

/** Every kind of fault. */
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
const BURST_CHANGES = 30;
const BURST_SPACING: Milliseconds = 100;
/** A stopping process lives at least this long, so that what it said goes out. */
const LEAST_STOP_TIME: Milliseconds = 200;
const PLANNED_STOP_PATIENCE: Milliseconds = 10_000;

function between(random: SeededRandom, least: Milliseconds, most: Milliseconds): Milliseconds {
  return least + random.fraction() * (most - least);
}

function note(world: World, text: string): void {
  world.history.note(world.now, `FAULT ${text}`);
}

function leaderOrAny(world: World): SimulatedDaemon | undefined {
  const working = world.daemons.filter((daemon) => daemon.working && !daemon.stopping);
  return working.find((daemon) => daemon.state.leaderships.size > 0) ?? world.random.pick(working);
}

function crash(world: World, process: SimulatedProcess | undefined, downFor: Milliseconds): void {
  if (process?.alive !== true) {
    return;
  }
  note(world, `${process.endpoint.name} crashes for ${Math.round(downFor)} ms`);
  process.crash();
  world.scheduler.after(downFor, () => {
    note(world, `${process.endpoint.name} starts again`);
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
      note(world, `${process.endpoint.name} goes on`);
      process.resume();
    }
  });
}

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

function partition(world: World, duration: Milliseconds, oneWay: boolean): void {
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
function cutSides(world: World, duration: Milliseconds): void {
  const sideOf = new Map(world.daemons.map((daemon) => [daemon.id, daemon.side]));
  cutFor(world, duration, 'the link between the sides is cut', (from, to) => {
    const [one, two] = [sideOf.get(from.name), sideOf.get(to.name)];
    return one !== undefined && two !== undefined && one !== two;
  });
}

/** Cuts a leader off from the other daemons but not from the servers: it goes on believing that it leads. */
function cutLeader(world: World, duration: Milliseconds): void {
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

function storeFault(world: World, fault: StoreFault, duration: Milliseconds): void {
  note(world, `store ${fault} for ${Math.round(duration)} ms`);
  world.store.fault = fault;
  world.scheduler.after(duration, () => {
    world.store.fault = 'none';
  });
}

function badNetwork(world: World, duration: Milliseconds): void {
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

/** Two operators move the same unit and change the same configuration at the same moment. */
function operatorRace(world: World): void {
  const working = world.daemons.filter((daemon) => daemon.working);
  const group = working[0]?.state.configuration.configuration?.groups.find(
    (candidate) => candidate.kind === 'keyed',
  );
  if (group === undefined) {
    return;
  }
  const unit = world.random.below(group.slots);
  for (let operator = 0; operator < 2; operator += 1) {
    const daemon = world.random.pick(working);
    const target = world.random.pick(group.servers);
    if (daemon !== undefined && target !== undefined) {
      world.command(daemon, { action: 'move', group: group.name, unit, target: target.id });
      world.command(daemon, { action: 'pin', group: group.name, key: `hot-${unit}`, target: target.id });
      configure(world, daemon, target.id, 'weight', 1 + operator);
    }
  }
}

function configure(
  world: World,
  daemon: SimulatedDaemon,
  server: string,
  field: 'weight' | 'draining',
  value: number,
): void {
  const { configuration, version } = daemon.state.configuration;
  if (configuration === null) {
    return;
  }
  const edit =
    field === 'weight'
      ? ({ kind: 'setServer', server, field, value } as const)
      : ({ kind: 'drain', server, draining: value === 1 } as const);
  const text = editConfiguration(configuration, edit);
  if (text.isErr()) {
    return;
  }
  const command = {
    action: 'configure',
    expectedVersion: version,
    text: text.value,
    operator: daemon.id,
  } as const;
  world.command(daemon, command, (accepted, detail) => {
    if (accepted) {
      world.configurationChecker.accepted(daemon.side, Number(/configuration (\d+)/.exec(detail)?.[1] ?? 0));
      if (field === 'draining') {
        world.drainChecker.changed(server, value === 1, world.now);
      }
    }
  });
}

function drain(world: World, duration: Milliseconds): void {
  const daemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
  const server = world.random.pick([...world.servers.keys()]);
  if (daemon === undefined || server === undefined) {
    return;
  }
  note(world, `drain of ${server}`);
  configure(world, daemon, server, 'draining', 1);
  world.scheduler.after(duration + 6_000, () => {
    const later = world.random.pick(world.daemons.filter((candidate) => candidate.working));
    if (later !== undefined) {
      world.drainChecker.changed(server, false, world.now);
      configure(world, later, server, 'draining', 0);
    }
  });
}

/** Changes of configuration in quick succession, each through another daemon. */
function configurationBurst(world: World): void {
  for (let change = 0; change < BURST_CHANGES; change += 1) {
    world.scheduler.after(change * BURST_SPACING, () => {
      const daemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
      const server = world.random.pick([...world.servers.keys()]);
      if (daemon !== undefined && server !== undefined) {
        configure(world, daemon, server, 'weight', 1);
      }
    });
  }
}

/** Some daemon is stopped as planned. */
function plannedStop(world: World): void {
  const daemon = world.random.pick(
    world.daemons.filter((candidate) => candidate.working && !candidate.stopping),
  );
  stopAsPlanned(world, daemon);
}

/** Stops a daemon as planned: it takes no new requests, finishes what it has, and is replaced. */
export function stopAsPlanned(world: World, daemon: SimulatedDaemon | undefined): void {
  if (daemon === undefined) {
    return;
  }
  note(world, `${daemon.id} is stopped as planned`);
  daemon.stopping = true;
  daemon.dispatch({ kind: 'stopping' });
  const { life } = daemon;
  const giveUpAt = world.now + PLANNED_STOP_PATIENCE;
  const poll = (): void => {
    if (daemon.life !== life) {
      return;
    }
    const open = daemon.state.requests.active.size;
    if (open > 0 && world.now < giveUpAt) {
      world.scheduler.after(DRAIN_POLL, poll);
      return;
    }
    if (open > 0) {
      world.history.violate(
        'planned-stop-cuts-nothing',
        world.now,
        `${daemon.id} stops with ${open} requests open`,
      );
    }
    daemon.crash();
    world.scheduler.after(DRAIN_POLL, () => daemon.restart());
  };
  world.scheduler.after(LEAST_STOP_TIME, poll);
}

/** Lets a fault begin now; it is over after `duration`. */
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
