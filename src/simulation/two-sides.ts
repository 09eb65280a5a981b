/**
 * Simulates two sides, each with its own store, that hand units over to each other while faults are injected.
 */
import { configurationOf, systemNamed } from '../emulator/systems.js';
import type { RoutingConfiguration } from '../core/configuration/routing-configuration.js';
import type { Milliseconds } from '../core/identifiers.js';
import type { RunOptions } from './run.js';
import { configuredAddress, World, type SideOptions } from './world.js';

const DAEMONS_OF_A_SIDE = 3;
const OTHER_ZONES = ['kota-a', 'kota-b', 'kota-c'];
const OTHER_SIDE = 'kota-tinggi';
const HAND_OVER_INTERVAL: Milliseconds = 150;
const FIRST_HAND_OVER: Milliseconds = 5_000;

function addressesOf(sideIndex: number): string[] {
  return Array.from({ length: DAEMONS_OF_A_SIDE }, (_, index) => configuredAddress(sideIndex, index));
}

function withSides(
  configuration: RoutingConfiguration,
  home: string,
  other: string,
  otherIndex: number,
): RoutingConfiguration {
  const addresses = addressesOf(otherIndex);
  const groups = configuration.groups.map((group) => (group.kind === 'keyed' ? { ...group, home } : group));
  return { ...configuration, groups, sides: [{ name: other, daemons: addresses, gateways: addresses }] };
}

/** Returns the configuration of the second side: the same groups on separate servers. */
function otherConfiguration(configuration: RoutingConfiguration): RoutingConfiguration {
  const groups = configuration.groups.map((group) => ({
    ...group,
    servers: group.servers.slice(0, 6).map((server, index) => ({
      ...server,
      id: `kota-${server.id}`,
      zone: OTHER_ZONES[index % OTHER_ZONES.length] ?? '',
    })),
  }));
  return { ...configuration, groups };
}

/** Creates a simulated system with two sides; the first side owns every unit initially. */
export function createTwoSides(options: Omit<RunOptions, 'scenario'>): World {
  const system = systemNamed(options.system);
  const configuration = configurationOf(system, (position) => `127.0.0.1:${20_000 + position}`);
  const first: SideOptions = {
    name: system.name,
    configuration: withSides(configuration, system.name, OTHER_SIDE, 1),
    daemonZones: system.zones.slice(0, DAEMONS_OF_A_SIDE),
  };
  const second: SideOptions = {
    name: OTHER_SIDE,
    configuration: withSides(otherConfiguration(configuration), system.name, system.name, 0),
    daemonZones: OTHER_ZONES,
  };
  return new World({
    seed: options.seed,
    sides: [first, second],
    zoneDelay: system.zoneDelayMilliseconds,
    ...(options.rules === undefined ? {} : { rules: options.rules }),
    ...(options.keepTimeline === undefined ? {} : { keepTimeline: options.keepTimeline }),
  });
}

/** Hands over random units, in both directions, until a time. */
export function startHandOvers(world: World, until: Milliseconds): void {
  const next = (): void => {
    if (world.now >= until) {
      return;
    }
    const daemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
    const group = daemon?.state.configuration.configuration?.groups.find(
      (candidate) => candidate.kind === 'keyed',
    );
    const [other] = daemon?.state.configuration.configuration?.sides ?? [];
    if (daemon !== undefined && group !== undefined && other !== undefined) {
      const unit = world.random.below(group.slots);
      world.command(daemon, { action: 'handOver', group: group.name, unit, target: other.name });
    }
    world.scheduler.after(HAND_OVER_INTERVAL, next);
  };
  world.scheduler.after(FIRST_HAND_OVER, next);
}
