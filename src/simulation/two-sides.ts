/**
 * Simulates two sides, each with its own store, that hand units over to each other while faults are injected.
 */
import { routingConfigurationOf, getSystem } from '../emulator/systems.js';
import type { RoutingConfiguration } from '../core/configuration/routing-configuration.js';
import type { Milliseconds } from '../core/identifiers.js';
import type { RunOptions } from './run.js';
import { configuredAddress, World, type SideOptions } from './world.js';

const DAEMONS_PER_SIDE = 3;
const SECOND_SIDE_ZONES = ['kota-a', 'kota-b', 'kota-c'];
const SECOND_SIDE = 'kota-tinggi';
const HAND_OVER_INTERVAL: Milliseconds = 150;
const FIRST_HAND_OVER_AT: Milliseconds = 5_000;

function daemonAddresses(sideIndex: number): string[] {
  return Array.from({ length: DAEMONS_PER_SIDE }, (_, index) => configuredAddress(sideIndex, index));
}

function withOtherSide(
  configuration: RoutingConfiguration,
  home: string,
  other: string,
  otherIndex: number,
): RoutingConfiguration {
  const addresses = daemonAddresses(otherIndex);
  const groups = configuration.groups.map((group) => (group.kind === 'keyed' ? { ...group, home } : group));
  return { ...configuration, groups, sides: [{ name: other, daemons: addresses, gateways: addresses }] };
}

/** Returns the configuration of the second side: the same groups on separate servers. */
function secondSideConfiguration(configuration: RoutingConfiguration): RoutingConfiguration {
  const groups = configuration.groups.map((group) => ({
    ...group,
    servers: group.servers.slice(0, 6).map((server, index) => ({
      ...server,
      id: `kota-${server.id}`,
      zone: SECOND_SIDE_ZONES[index % SECOND_SIDE_ZONES.length] ?? '',
    })),
  }));
  return { ...configuration, groups };
}

/** Creates a simulated system with two sides; the first side owns every unit initially. */
export function createTwoSidedWorld(options: Omit<RunOptions, 'scenario'>): World {
  const system = getSystem(options.system);
  const configuration = routingConfigurationOf(system, (position) => `127.0.0.1:${20_000 + position}`);
  const first: SideOptions = {
    name: system.name,
    configuration: withOtherSide(configuration, system.name, SECOND_SIDE, 1),
    daemonZones: system.zones.slice(0, DAEMONS_PER_SIDE),
  };
  const second: SideOptions = {
    name: SECOND_SIDE,
    configuration: withOtherSide(secondSideConfiguration(configuration), system.name, system.name, 0),
    daemonZones: SECOND_SIDE_ZONES,
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
      const unit = world.random.integerBelow(group.slots);
      world.sendOperatorCommand(daemon, { action: 'handOver', group: group.name, unit, target: other.name });
    }
    world.scheduler.after(HAND_OVER_INTERVAL, next);
  };
  world.scheduler.after(FIRST_HAND_OVER_AT, next);
}
