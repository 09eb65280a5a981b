/** Guards against requests that a daemon in touch sends against a change that reached it late, through daemons or links that were slow but not dead. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { Configuration, Route } from '../../../src/router/model/configuration.js';
import type { LateSend } from '../support/bound-checks.js';
import { BoundedTraffic, type TrackedRequest } from '../support/bounded-traffic.js';
import { BOUNDS } from '../support/bounds.js';
import { BALANCED_SERVICE, CONFIGURATION } from '../support/request-traffic.js';
import {
  RouterSimulation,
  SERVICE as KEYED_SERVICE,
  type SimulatedDaemon,
} from '../support/router-simulation.js';
import type { SimulatedServer } from '../support/simulated-server.js';

/** By then daemons have joined the propagation tree. */
const SETTLING_TIME = 8_000;
const SERVERS_PER_SERVICE = 12;
const RELEASE_INTERVAL = 1_500;
/** The entry of a draining server is removed this much later. */
const DRAINED_ENTRY_LIFETIME = 6_000;
const RELEASE_TIME = 15_000;
const SLOW_CONNECTION = 700;
const SLOW_LOOP_INTERVAL = 400;
const LATE_PARENT_DELAY = 3_000;
const OUTAGE_TIME = 8_000;
const PAUSE_INTERVAL = 3_000;
const PAUSES = [600, 1_100, 1_600, 2_100, 2_500];
const LINK_DELAYS = [600, 1_300, 2_000, 2_500];
/** Interval at which a growing delay grows, and by how much of the passed time. */
const DELAY_STEP = 50;
const DELAY_GROWTH = 0.5;
const MIN_SENT_SHARE = 0.95;
/** Half of a caller's time: a request that is refused later has been held for too long. */
const LONGEST_HOLD = 400;

/** A simulation with traffic at all of its daemons. */
interface Scene {
  readonly simulation: RouterSimulation;
  readonly traffic: BoundedTraffic;
}

function createScene(daemons: number, seed = 1, keyedServers = SERVERS_PER_SERVICE): Scene {
  const simulation = new RouterSimulation(seed, daemons, keyedServers);
  const traffic = new BoundedTraffic(simulation, SERVERS_PER_SERVICE);
  simulation.clock.runUntil(SETTLING_TIME);
  traffic.start();
  return { simulation, traffic };
}

function runFor({ simulation }: Scene, time: number): void {
  simulation.clock.runUntil(simulation.clock.now + time);
}

/** Lets the delay of all links, or of those from one daemon to another or to all, grow to a final one, so that heartbeats go on. */
function growDelay(
  { simulation }: Scene,
  finalDelay: number,
  sender: SimulatedDaemon | null = null,
  receiver: SimulatedDaemon | null = null,
): void {
  const from = simulation.clock.now;
  const step = (): void => {
    const delay = Math.min(finalDelay, Math.max(1, (simulation.clock.now - from) * DELAY_GROWTH));
    if (sender === null) {
      simulation.links.delay = delay;
    } else {
      simulation.links.setDelay(sender, receiver, delay);
    }
    if (delay < finalDelay) {
      simulation.clock.schedule(DELAY_STEP, step);
    }
  };
  step();
  simulation.clock.runUntil(from + finalDelay / DELAY_GROWTH + BOUNDS.contact);
}

function serversOf({ simulation }: Scene, service: string): SimulatedServer[] {
  return simulation.servers.filter(
    ({ address }) => address.startsWith('10.0.3.') === (service === BALANCED_SERVICE),
  );
}

/** Replaces the oldest server of each service at intervals: it drains, and a new one is added. */
function simulateReleases(scene: Scene, time = RELEASE_TIME): void {
  const { simulation, traffic } = scene;
  const draining = new Set<SimulatedServer>();
  const end = simulation.clock.now + time;
  for (let release = 0; simulation.clock.now < end; release += 1) {
    for (const service of [KEYED_SERVICE, BALANCED_SERVICE]) {
      const oldest = serversOf(scene, service).find((server) => !draining.has(server));
      if (oldest !== undefined) {
        draining.add(oldest);
        traffic.drain(oldest);
        simulation.clock.schedule(DRAINED_ENTRY_LIFETIME, () => simulation.removeEntry(oldest.id));
      }
      const network = service === BALANCED_SERVICE ? '10.0.3' : '10.0.1';
      simulation.addServer(`${network}.${100 + release}:80`, service);
    }
    runFor(scene, RELEASE_INTERVAL);
  }
}

function leaderOf(simulation: RouterSimulation): SimulatedDaemon {
  const leader = simulation.leader();
  if (leader === undefined) {
    throw new Error('nobody leads');
  }
  return leader;
}

function childrenOf(simulation: RouterSimulation, parent: SimulatedDaemon): SimulatedDaemon[] {
  return simulation.daemons.filter(({ parentAddress }) => parentAddress === parent.address);
}

/** Returns the daemons other than the leader that have children. */
function relaysOf(simulation: RouterSimulation): SimulatedDaemon[] {
  const leader = leaderOf(simulation);
  return simulation.daemons.filter(
    (daemon) => daemon !== leader && childrenOf(simulation, daemon).length > 0,
  );
}

function firstRelayOf(simulation: RouterSimulation): SimulatedDaemon {
  const [relay] = relaysOf(simulation);
  if (relay === undefined) {
    throw new Error('there is no relay');
  }
  return relay;
}

/** Returns a child of the leader that does not watch the store. */
function unwatchingChildOf(simulation: RouterSimulation): SimulatedDaemon {
  const child = childrenOf(simulation, leaderOf(simulation)).find(({ state }) => !state.followsStore);
  if (child === undefined) {
    throw new Error('every child watches the store');
  }
  return child;
}

/** Describes the late sends of each change: how many there were, how many were run, and the latest. */
function describeLateSends(lateSends: readonly LateSend[]): string[] {
  const groups = new Map<string, LateSend[]>();
  for (const late of lateSends) {
    const group = `${late.change}, ${late.route.replace(/-\d+$/, '')}`;
    groups.set(group, [...(groups.get(group) ?? []), late]);
  }
  return [...groups].map(([group, sends]) => {
    const latest = Math.round(Math.max(...sends.map(({ age }) => age)));
    return `${group}: ${sends.length} late, ${sends.filter(({ isRun }) => isRun).length} of them run, latest ${latest} ms`;
  });
}

function expectNoLateSends({ traffic }: Scene): void {
  expect(describeLateSends(traffic.checks.lateSends)).toEqual([]);
}

/** Simulates each case and expects no late sends in any. */
function expectNoLateSendsInEach(cases: readonly number[], simulate: (value: number) => Scene): void {
  const found = cases.flatMap((value) =>
    describeLateSends(simulate(value).traffic.checks.lateSends).map((line) => `${value}: ${line}`),
  );
  expect(found).toEqual([]);
}

function shareSent(requests: readonly TrackedRequest[]): number {
  return requests.filter(({ reachedServerAt }) => reachedServerAt !== null).length / requests.length;
}

/** Evacuates one zone after another. */
function simulateEvacuations(scene: Scene): void {
  for (const zones of [['z0'], ['z1'], ['z2']]) {
    scene.traffic.evacuate(zones);
    runFor(scene, 2 * (BOUNDS.evacuation ?? 0));
  }
}

/** Suspends a relay and the leader in turn while servers are replaced. */
function pauseParents(scene: Scene): void {
  const { simulation } = scene;
  const pauses = PAUSES.flatMap((length) => [length, length]);
  pauses.forEach((length, index) =>
    simulation.clock.schedule(index * PAUSE_INTERVAL, () => {
      const relay = relaysOf(simulation)[index] ?? leaderOf(simulation);
      simulation.suspend(index % 2 === 0 ? relay : leaderOf(simulation), length);
    }),
  );
  simulateReleases(scene, pauses.length * PAUSE_INTERVAL);
}

/** Returns the requests sent in a span of time, without the last ones, whose callers still wait. */
function requestsSince({ simulation, traffic }: Scene, from: number): TrackedRequest[] {
  return traffic.requests.filter(
    ({ sentAt }) => sentAt >= from && sentAt < simulation.clock.now - BOUNDS.contact,
  );
}

/** The configuration of a version, which replaces the former version's own route. */
function configurationOf(version: number): Configuration {
  const [route] = CONFIGURATION.routes;
  const added: Route = {
    ...(route as Route),
    name: `version-${version}`,
    pathPrefix: `/version-${version}/`,
    targets: [{ service: BALANCED_SERVICE, weight: 1 }],
  };
  return { ...CONFIGURATION, version, routes: [...CONFIGURATION.routes, added] };
}

/** Replaces a route by another one at intervals while callers use both. */
function simulateConfigurationChanges(scene: Scene, changes: number): void {
  const first = CONFIGURATION.version + 1;
  for (let version = first; version < first + changes; version += 1) {
    scene.traffic.routes = [`version-${version}`, `version-${version - 1}`];
    scene.traffic.configure(configurationOf(version));
    runFor(scene, 2 * BOUNDS.configuration);
  }
}

/** Returns how many requests were refused only after they had been held for too long. */
function countHeldTooLong(requests: readonly TrackedRequest[]): number {
  return requests.filter(
    ({ reachedServerAt, refusedAt, sentAt }) =>
      reachedServerAt === null && (refusedAt === null || refusedAt - sentAt > LONGEST_HOLD),
  ).length;
}

function ofRoute(requests: readonly TrackedRequest[], name: string): TrackedRequest[] {
  return requests.filter(({ route }) => route === name);
}

/** Drains the only keyed server while its keys can move nowhere, with late links to all daemons. */
function drainOnlyOwner(linkDelay: number): Scene {
  const scene = createScene(8, 1, 1);
  growDelay(scene, linkDelay);
  scene.traffic.drain(serversOf(scene, KEYED_SERVICE)[0] as SimulatedServer);
  runFor(scene, 2 * BOUNDS.drain);
  return scene;
}

/** Creates 40 daemons with the given delay of all links between them. */
function createSceneWithLateLinks(linkDelay: number): Scene {
  const scene = createScene(40);
  growDelay(scene, linkDelay);
  return scene;
}

/** Returns a child of the leader whose data grows to an age, with the scene after releases. */
function simulateReleasesWithOldData(age: number): Scene & { readonly child: SimulatedDaemon } {
  const scene = createScene(8);
  const child = unwatchingChildOf(scene.simulation);
  growDelay(scene, age, leaderOf(scene.simulation), child);
  simulateReleases(scene);
  return { ...scene, child };
}

describe('a request to a draining server', () => {
  it('is not sent past the bound when all links between daemons are late', () => {
    expectNoLateSendsInEach(LINK_DELAYS, (delay) => {
      const scene = createSceneWithLateLinks(delay);
      simulateReleases(scene);
      return scene;
    });
  });

  it('is not sent past the bound when all links are late and most daemons are slow', () => {
    const scene = createSceneWithLateLinks(600);
    scene.simulation.daemons
      .filter((_, index) => index % 5 > 0)
      .forEach(({ machine }, index) => machine.slowDown(SLOW_LOOP_INTERVAL, index * 37));
    simulateReleases(scene);
    expectNoLateSends(scene);
  });

  it('is not sent past the bound below a relay whose messages are late', () => {
    const scene = createScene(40);
    growDelay(scene, LATE_PARENT_DELAY, firstRelayOf(scene.simulation));
    simulateReleases(scene);
    expectNoLateSends(scene);
  });

  it('is not sent past the bound below a leader whose messages are late', () => {
    const scene = createScene(40);
    growDelay(scene, LATE_PARENT_DELAY, leaderOf(scene.simulation));
    simulateReleases(scene);
    expectNoLateSends(scene);
  });

  it('is not sent past the bound by a daemon whose data grew old', () => {
    expectNoLateSendsInEach([1.1, 1.5, 3], (share) => simulateReleasesWithOldData(share * BOUNDS.drain));
  });

  it('is not sent past the bound to the only owner of its key when the entry comes late', () => {
    expectNoLateSendsInEach([0.6, 0.9, 1.2], (share) => drainOnlyOwner(share * BOUNDS.drain));
  });

  it('is not sent past the bound when its connection opens slowly', () => {
    const scene = createScene(8);
    scene.traffic.connectionDelay = SLOW_CONNECTION;
    simulateReleases(scene);
    expectNoLateSends(scene);
  });

  it('is not sent past the bound when the bound passes while its connection opens', () => {
    const scene = createScene(8);
    scene.traffic.connectionDelay = SLOW_CONNECTION;
    growDelay(scene, 0.75 * BOUNDS.drain);
    simulateReleases(scene);
    expectNoLateSends(scene);
  });
});

describe('a request to a server in an evacuated zone', () => {
  it('is not sent past its bound when all links between daemons are late', () => {
    expectNoLateSendsInEach(LINK_DELAYS, (delay) => {
      const scene = createSceneWithLateLinks(delay);
      simulateEvacuations(scene);
      return scene;
    });
  });
});

describe('a request that is sent after a new configuration must be in force', () => {
  it('is routed by it when all links between daemons are late', () => {
    expectNoLateSendsInEach(LINK_DELAYS, (delay) => {
      const scene = createSceneWithLateLinks(delay);
      simulateConfigurationChanges(scene, 4);
      return scene;
    });
  });
});

describe('requests go on', () => {
  it('without keys while the store answers nobody', () => {
    const scene = createScene(40);
    const from = scene.simulation.clock.now;
    scene.simulation.store.downUntil = from + OUTAGE_TIME;
    runFor(scene, OUTAGE_TIME + BOUNDS.contact);
    const requests = ofRoute(requestsSince(scene, from), BALANCED_SERVICE);
    expect(shareSent(requests) >= MIN_SENT_SHARE).toEqual(true);
    expect(countHeldTooLong(requests)).toEqual(0);
  });

  it('at a daemon whose late parent and store both leave it without answers', () => {
    const scene = createScene(8);
    const child = unwatchingChildOf(scene.simulation);
    const from = scene.simulation.clock.now;
    child.storeReachable = false;
    growDelay(scene, 3 * BOUNDS.drain, leaderOf(scene.simulation), child);
    const requests = requestsSince(scene, from).filter(({ daemon }) => daemon === child);
    expect(shareSent(ofRoute(requests, BALANCED_SERVICE)) >= MIN_SENT_SHARE).toEqual(true);
  });

  it('at daemons in touch while relays and the leader stand still one after another', () => {
    const scene = createScene(40);
    const from = scene.simulation.clock.now;
    pauseParents(scene);
    const requests = requestsSince(scene, from).filter(({ isInTouch }) => isInTouch);
    expect(shareSent(ofRoute(requests, BALANCED_SERVICE)) >= MIN_SENT_SHARE).toEqual(true);
    expect(shareSent(ofRoute(requests, KEYED_SERVICE)) >= MIN_SENT_SHARE).toEqual(true);
    expectNoLateSends(scene);
  });

  it('without keys at a daemon whose data grew old while the store answers', () => {
    for (const share of [1.1, 1.5, 3]) {
      const scene = simulateReleasesWithOldData(share * BOUNDS.drain);
      const requests = requestsSince(scene, SETTLING_TIME).filter(({ daemon }) => daemon === scene.child);
      expect(shareSent(ofRoute(requests, BALANCED_SERVICE)) >= MIN_SENT_SHARE).toEqual(true);
    }
  });

  it('without keys while all links between daemons are late', () => {
    for (const delay of LINK_DELAYS) {
      const scene = createSceneWithLateLinks(delay);
      simulateReleases(scene);
      const requests = requestsSince(scene, SETTLING_TIME);
      expect(shareSent(ofRoute(requests, BALANCED_SERVICE)) >= MIN_SENT_SHARE).toEqual(true);
    }
  });

  it('to other servers when a server is not to be written to', () => {
    const scene = createScene(8);
    const [server] = serversOf(scene, BALANCED_SERVICE);
    scene.traffic.isWriteAllowed = (_state, _now, effect) => effect.server !== server?.id;
    scene.traffic.drain(server as SimulatedServer);
    runFor(scene, 2 * BOUNDS.contact);
    expectNoLateSends(scene);
    const requests = ofRoute(requestsSince(scene, SETTLING_TIME), BALANCED_SERVICE);
    expect(shareSent(requests) >= MIN_SENT_SHARE).toEqual(true);
  });
});
