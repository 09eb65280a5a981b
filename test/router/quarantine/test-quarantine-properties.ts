import { expect } from 'earl';
import { describe, it } from 'node:test';
import { QUARANTINE_REASON } from '../../../src/router/quarantine/quarantine.js';
import { RequestTraffic, PLAIN, type NamedRequest } from '../support/request-traffic.js';
import { type Daemon, RouterWorld, SERVICE as KEYED } from '../support/router-world.js';

const SETTLED = 6_000;
const TROUBLES_UNTIL = 24_000;
const LENGTH = 45_000;
const CONTACT = 3_000;
const CRASHES = 3;
const HOT_KEY = 519;
const LATER_SENDS = 3;
const RESTART = 500;
/** For more seeds: `SEEDS=200 node --test dist/test/router/quarantine/test-quarantine-properties.js`. */
const SEEDS = Array.from({ length: Number(process.env['SEEDS'] ?? 4) }, (_, index) => index + 1);

/** A running simulation, and when each daemon and the store last had a fault. */
interface Scene {
  readonly world: RouterWorld;
  readonly traffic: RequestTraffic;
  readonly lastFaultAt: Map<Daemon, number>;
  lastStoreFaultAt: number;
}

function anyDaemon({ world }: Scene): Daemon {
  return world.daemons[world.random.below(world.daemons.length)] as Daemon;
}

/** Runs an action at random times, with the given mean interval. */
function often({ world }: Scene, interval: number, from: number, until: number, action: () => void): void {
  const next = (): void => {
    if (world.clock.now < until) {
      action();
      world.clock.after(world.random.fraction() * 2 * interval, next);
    }
  };
  world.clock.after(from + world.random.fraction() * interval, next);
}

function createScene(seed: number): Scene {
  const world = new RouterWorld(seed, 6, 8);
  const traffic = new RequestTraffic(world, 8);
  const simulation = { world, traffic, lastFaultAt: new Map<Daemon, number>(), lastStoreFaultAt: 0 };
  often(simulation, 25, SETTLED, LENGTH, () => {
    const index = world.random.below(10_000);
    const route = world.random.fraction() < 0.5 ? KEYED : PLAIN;
    traffic.ask(anyDaemon(simulation), { name: `r${index}`, route, key: 7 + 512 * (index % 128) });
  });
  return simulation;
}

function kill(simulation: Scene, daemons: readonly Daemon[]): void {
  const { world, lastFaultAt } = simulation;
  daemons.forEach((daemon) => (daemon.alive = false));
  world.clock.after(RESTART, () => {
    daemons.forEach((daemon) => {
      world.startDaemon(daemon);
      lastFaultAt.set(daemon, world.clock.now);
    });
  });
}

/** Faults of daemons and of the store, by name. */
const DAEMON_TROUBLES: Readonly<Record<string, (simulation: Scene) => void>> = {
  none: () => undefined,
  killLeader: (simulation) => {
    const leader = simulation.world.leader();
    kill(simulation, leader === undefined ? [] : [leader]);
  },
  killSome: (simulation) =>
    kill(
      simulation,
      simulation.world.daemons.filter(() => simulation.world.random.fraction() < 0.4),
    ),
  cutOff: (simulation) => {
    const daemon = anyDaemon(simulation);
    daemon.peersReachable = false;
    simulation.world.clock.after(2_500, () => {
      daemon.peersReachable = true;
      simulation.lastFaultAt.set(daemon, simulation.world.clock.now);
    });
  },
  storeDown: (simulation) => {
    simulation.world.store.downUntil = simulation.world.clock.now + 4_000;
    simulation.lastStoreFaultAt = simulation.world.store.downUntil;
  },
};

/**
 * Returns how often daemons that were connected to the others sent a request later than the contact time after enough
 * servers had crashed under it.
 */
function lateSends({ traffic, lastFaultAt, lastStoreFaultAt }: Scene, name: string): number {
  const last = traffic.crashes.filter((crash) => crash.name === name)[CRASHES - 1];
  if (last === undefined) {
    return 0;
  }
  return traffic.sends.filter(({ name: sent, daemon, at }) => {
    const undisturbedSince = Math.max(lastFaultAt.get(daemon) ?? 0, lastStoreFaultAt) + CONTACT;
    return sent === name && at > last.at + CONTACT && at > undisturbedSince;
  }).length;
}

/** Returns the number of requests that were refused because of a quarantine, of deadly or of innocent requests. */
function quarantined({ traffic }: Scene, isAtFault: boolean): number {
  return traffic.told.filter(
    ({ reason, name }) => reason === QUARANTINE_REASON && traffic.deadly.has(name) === isAtFault,
  ).length;
}

/** Sends innocent requests: a keyed and an unkeyed one many times a second, and a rare one. */
function innocentCallers(simulation: Scene): void {
  const { traffic } = simulation;
  const callers: readonly [NamedRequest, number][] = [
    [{ name: 'hot-keyed', route: KEYED, key: HOT_KEY }, 15],
    [{ name: 'hot', route: PLAIN, key: 7 }, 15],
    [{ name: 'seldom', route: PLAIN, key: 7 }, 800],
  ];
  for (const [request, interval] of callers) {
    often(simulation, interval, SETTLED, LENGTH, () => traffic.ask(anyDaemon(simulation), request));
  }
}

function insist(simulation: Scene, request: NamedRequest, interval: number): void {
  simulation.traffic.deadly.add(request.name);
  often(simulation, interval, SETTLED + 500, LENGTH, () =>
    simulation.traffic.ask(anyDaemon(simulation), request),
  );
}

describe('requests that crash servers while daemons have faults', () => {
  for (const [name, fault] of Object.entries(DAEMON_TROUBLES)) {
    it(`reach servers at most three more times: ${name}`, () => {
      for (const seed of SEEDS) {
        const simulation = createScene(seed);
        innocentCallers(simulation);
        insist(simulation, { name: 'deadly-keyed', route: KEYED, key: HOT_KEY }, 2_500);
        insist(simulation, { name: 'deadly', route: PLAIN, key: 7 }, 3_000);
        insist(simulation, { name: 'deadly-once', route: `${PLAIN}-once`, key: 7 }, 1_500);
        often(simulation, 5_000, SETTLED, TROUBLES_UNTIL, () => fault(simulation));
        simulation.world.clock.runUntil(LENGTH);
        const late = [...simulation.traffic.deadly].map((deadly) => lateSends(simulation, deadly));
        expect(Math.max(...late) <= LATER_SENDS).toEqual(true);
        expect(quarantined(simulation, true) > 0).toEqual(true);
        expect(quarantined(simulation, false)).toEqual(0);
      }
    });
  }

  it('stay quarantined after all daemons have restarted', () => {
    for (const seed of SEEDS) {
      const simulation = createScene(seed);
      insist(simulation, { name: 'deadly', route: PLAIN, key: 7 }, 3_000);
      simulation.world.clock.runUntil(TROUBLES_UNTIL);
      const before = simulation.traffic.crashes.length;
      kill(simulation, simulation.world.daemons);
      simulation.world.clock.runUntil(LENGTH);
      expect(before >= CRASHES).toEqual(true);
      const later = simulation.traffic.crashes.filter(({ at }) => at > TROUBLES_UNTIL + RESTART + CONTACT);
      expect(later).toEqual([]);
    }
  });
});

/** Ways in which servers end or seem to end with no request at fault, by name. */
const SERVER_TROUBLES: Readonly<Record<string, (simulation: Scene) => void>> = {
  crashes: ({ world, traffic }) => {
    const alive = world.servers.filter((server) => server.alive);
    traffic.crash(alive[world.random.below(alive.length)] as (typeof alive)[number]);
  },
  'a share of all servers at once': ({ world, traffic }) => {
    const alive = world.servers.filter((server) => server.alive);
    alive.filter(() => world.random.fraction() < 0.4).forEach((server) => traffic.crash(server));
  },
  'connection resets': ({ world, traffic }) => {
    const alive = world.servers.filter((server) => server.alive);
    alive.filter(() => world.random.fraction() < 0.5).forEach((server) => traffic.reset(server));
  },
  'draining servers': ({ world, traffic }) => {
    const alive = world.servers.filter((server) => server.alive);
    const draining = alive[world.random.below(alive.length)] as (typeof alive)[number];
    world.drain(draining.id);
    world.clock.after(2_500, () => traffic.crash(draining));
  },
  'the owner of the hot key, repeatedly': ({ world, traffic }) => {
    const owner = world.servers.find((server) => server.holds(HOT_KEY));
    if (owner !== undefined) {
      traffic.crash(owner);
    }
  },
};

describe('servers that crash with no request at fault', () => {
  for (const [name, fault] of Object.entries(SERVER_TROUBLES)) {
    it(`cause no quarantine: ${name}`, () => {
      for (const seed of SEEDS) {
        const simulation = createScene(seed);
        innocentCallers(simulation);
        often(simulation, 2_500, SETTLED, LENGTH, () => fault(simulation));
        simulation.world.clock.runUntil(LENGTH);
        expect(quarantined(simulation, false)).toEqual(0);
      }
    });
  }
});
