/** A simulated deployment with steady requests that has settled. */
import { LAST_KEY } from '../../../src/router/model/identifiers.js';
import { BALANCED_SERVICE, RequestTraffic } from './request-traffic.js';
import { RouterSimulation, SERVICE as KEYED_SERVICE, type SimulatedDaemon } from './router-simulation.js';
import { CHECKED_KEYS, type PathFault, type SimulatedServer } from './simulated-server.js';
import { startSteadyRequests, type SteadyRequests } from './steady-requests.js';

const KEYED_SERVERS = 14;
/** Enough that the servers are at half of their capacity. */
const BALANCED_SERVERS = 13;
const DAEMONS = 11;
/** Time at which a deployment has settled, in milliseconds. */
export const SETTLED = 8_000;

export interface Deployment {
  readonly simulation: RouterSimulation;
  readonly traffic: RequestTraffic;
  readonly requests: SteadyRequests;
}

/** Options of a deployment. */
export interface DeploymentOptions {
  readonly daemons?: number;
  /** Zones of the daemons, in turn. */
  readonly zones?: readonly string[];
  /** Time between two requests of one route at one daemon, in milliseconds. */
  readonly interval?: number;
  readonly keyedServers?: number;
  /** Units that the stored table holds before the first leader, dealt to the servers in turn; 0: there is no table. */
  readonly units?: number;
}

/** Stores a table with the given number of units of equal size. */
function storeTable(simulation: RouterSimulation, count: number): void {
  const owners = keyedServers(simulation);
  const start = (index: number): number => Math.floor((index * (LAST_KEY + 1)) / count);
  const units = Array.from({ length: count }, (_, index) => ({
    service: KEYED_SERVICE,
    from: start(index),
    to: start(index + 1) - 1,
    owner: owners[index % owners.length]?.id ?? '',
    fence: 2 * index + 3,
    releasing: null,
  }));
  const table = { term: 0, nextFence: 2 * count + 4, units };
  simulation.store.put('ownership', { writeId: 'initial', table });
}

export function createDeployment(seed: number, options: DeploymentOptions = {}): Deployment {
  const { daemons = DAEMONS, zones = ['z0'], interval, units = 0 } = options;
  const simulation = new RouterSimulation(seed, daemons, options.keyedServers ?? KEYED_SERVERS, zones);
  if (units > 0) {
    storeTable(simulation, units);
  }
  const traffic = new RequestTraffic(simulation, BALANCED_SERVERS);
  simulation.clock.runUntil(SETTLED / 2);
  const requests = startSteadyRequests(simulation, traffic, [KEYED_SERVICE, BALANCED_SERVICE], interval);
  simulation.clock.runUntil(SETTLED);
  return { simulation, traffic, requests };
}

/** Returns the leader. */
export function leaderOf(simulation: RouterSimulation): SimulatedDaemon {
  const leader = simulation.leader();
  if (leader === undefined) {
    throw new Error('no daemon is the leader');
  }
  return leader;
}

/** Returns daemons in an order that begins with the followers, or with the leader. */
export function daemonsInOrder(simulation: RouterSimulation, isLeaderFirst: boolean): SimulatedDaemon[] {
  const leader = leaderOf(simulation);
  const followers = simulation.daemons.filter((daemon) => daemon !== leader);
  return isLeaderFirst ? [leader, ...followers] : [...followers, leader];
}

/** Returns the servers of the keyed service. */
export function keyedServers({ servers }: RouterSimulation): SimulatedServer[] {
  return servers.filter(({ address }) => address.startsWith('10.0.1.'));
}

/** Returns the longest time in milliseconds for which no server held one of the checked keys, until the given time. */
export function longestUnheldTimeUntil(simulation: RouterSimulation, end: number): number {
  const unheldSince = new Map<number, number>();
  // A key that is on its way when the path is lost can't arrive before the leader has handed over.
  const onTheirWay = new Set(simulation.unservedKeys());
  let longest = 0;
  while (simulation.clock.now < end) {
    simulation.clock.runUntil(simulation.clock.now + 20);
    const unserved = new Set(simulation.unservedKeys());
    for (const key of CHECKED_KEYS) {
      if (unserved.has(key)) {
        unheldSince.set(key, unheldSince.get(key) ?? simulation.clock.now);
        const unheld = onTheirWay.has(key) ? 0 : simulation.clock.now - (unheldSince.get(key) ?? 0);
        longest = Math.max(longest, unheld);
      } else {
        unheldSince.delete(key);
        onTheirWay.delete(key);
      }
    }
  }
  return longest;
}

/** Lets daemons lose their paths to servers, one server after the other within `spread` milliseconds. */
export function breakPathsGradually(
  { simulation, traffic }: Deployment,
  daemons: readonly SimulatedDaemon[],
  servers: readonly SimulatedServer[],
  fault: PathFault,
  spread: number,
): void {
  servers.forEach((server, index) => {
    simulation.clock.schedule((index * spread) / servers.length, () =>
      traffic.breakPaths(daemons, [server], fault),
    );
  });
}
