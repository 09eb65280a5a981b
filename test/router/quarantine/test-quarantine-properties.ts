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
  readonly troubledAt: Map<Daemon, number>;
  storeTroubledAt: number;
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
  const scene = { world, traffic, troubledAt: new Map<Daemon, number>(), storeTroubledAt: 0 };
  often(scene, 25, SETTLED, LENGTH, () => {
    const index = world.random.below(10_000);
    const route = world.random.fraction() < 0.5 ? KEYED : PLAIN;
    traffic.ask(anyDaemon(scene), { name: `r${index}`, route, key: 7 + 512 * (index % 128) });
  });
  return scene;
}

function kill(scene: Scene, daemons: readonly Daemon[]): void {
  const { world, troubledAt } = scene;
  daemons.forEach((daemon) => (daemon.alive = false));
  world.clock.after(RESTART, () => {
    daemons.forEach((daemon) => {
      world.startDaemon(daemon);
      troubledAt.set(daemon, world.clock.now);
    });
  });
}

/** Faults of daemons and of the store, by name. */
const DAEMON_TROUBLES: Readonly<Record<string, (scene: Scene) => void>> = {
  none: () => undefined,
  killLeader: (scene) => {
    const leader = scene.world.leader();
    kill(scene, leader === undefined ? [] : [leader]);
  },
  killSome: (scene) =>
    kill(
      scene,
      scene.world.daemons.filter(() => scene.world.random.fraction() < 0.4),
    ),
  cutOff: (scene) => {
    const daemon = anyDaemon(scene);
    daemon.peersReachable = false;
    scene.world.clock.after(2_500, () => {
      daemon.peersReachable = true;
      scene.troubledAt.set(daemon, scene.world.clock.now);
    });
  },
  storeDown: (scene) => {
    scene.world.store.downUntil = scene.world.clock.now + 4_000;
    scene.storeTroubledAt = scene.world.store.downUntil;
  },
};

/**
 * Returns how often daemons that were connected to the others sent a request later than the contact time after enough
 * servers had crashed under it.
 */
function lateSends({ traffic, troubledAt, storeTroubledAt }: Scene, name: string): number {
  const last = traffic.crashes.filter((crash) => crash.name === name)[CRASHES - 1];
  if (last === undefined) {
    return 0;
  }
  return traffic.sends.filter(({ name: sent, daemon, at }) => {
    const undisturbedSince = Math.max(troubledAt.get(daemon) ?? 0, storeTroubledAt) + CONTACT;
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
function innocentCallers(scene: Scene): void {
  const { traffic } = scene;
  const callers: readonly [NamedRequest, number][] = [
    [{ name: 'hot-keyed', route: KEYED, key: HOT_KEY }, 15],
    [{ name: 'hot', route: PLAIN, key: 7 }, 15],
    [{ name: 'seldom', route: PLAIN, key: 7 }, 800],
  ];
  for (const [request, interval] of callers) {
    often(scene, interval, SETTLED, LENGTH, () => traffic.ask(anyDaemon(scene), request));
  }
}

function insist(scene: Scene, request: NamedRequest, interval: number): void {
  scene.traffic.deadly.add(request.name);
  often(scene, interval, SETTLED + 500, LENGTH, () => scene.traffic.ask(anyDaemon(scene), request));
}

describe('requests that crash servers while daemons have faults', () => {
  for (const [name, trouble] of Object.entries(DAEMON_TROUBLES)) {
    it(`reach servers at most three more times: ${name}`, () => {
      for (const seed of SEEDS) {
        const scene = createScene(seed);
        innocentCallers(scene);
        insist(scene, { name: 'deadly-keyed', route: KEYED, key: HOT_KEY }, 2_500);
        insist(scene, { name: 'deadly', route: PLAIN, key: 7 }, 3_000);
        insist(scene, { name: 'deadly-once', route: `${PLAIN}-once`, key: 7 }, 1_500);
        often(scene, 5_000, SETTLED, TROUBLES_UNTIL, () => trouble(scene));
        scene.world.clock.runUntil(LENGTH);
        const late = [...scene.traffic.deadly].map((deadly) => lateSends(scene, deadly));
        expect(Math.max(...late) <= LATER_SENDS).toEqual(true);
        expect(quarantined(scene, true) > 0).toEqual(true);
        expect(quarantined(scene, false)).toEqual(0);
      }
    });
  }

  it('stay quarantined after all daemons have restarted', () => {
    for (const seed of SEEDS) {
      const scene = createScene(seed);
      insist(scene, { name: 'deadly', route: PLAIN, key: 7 }, 3_000);
      scene.world.clock.runUntil(TROUBLES_UNTIL);
      const before = scene.traffic.crashes.length;
      kill(scene, scene.world.daemons);
      scene.world.clock.runUntil(LENGTH);
      expect(before >= CRASHES).toEqual(true);
      const later = scene.traffic.crashes.filter(({ at }) => at > TROUBLES_UNTIL + RESTART + CONTACT);
      expect(later).toEqual([]);
    }
  });
});

/** Ways in which servers end or seem to end with no request at fault, by name. */
const SERVER_TROUBLES: Readonly<Record<string, (scene: Scene) => void>> = {
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
  for (const [name, trouble] of Object.entries(SERVER_TROUBLES)) {
    it(`cause no quarantine: ${name}`, () => {
      for (const seed of SEEDS) {
        const scene = createScene(seed);
        innocentCallers(scene);
        often(scene, 2_500, SETTLED, LENGTH, () => trouble(scene));
        scene.world.clock.runUntil(LENGTH);
        expect(quarantined(scene, false)).toEqual(0);
      }
    });
  }
});
