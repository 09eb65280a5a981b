import { expect } from 'earl';
import { describe, it } from 'node:test';
import { QUARANTINE_REASON } from '../../../src/router/quarantine/quarantine.js';
import { RequestTraffic, BALANCED_SERVICE, type NamedRequest } from '../support/request-traffic.js';
import { type SimulatedDaemon, RouterSimulation, SERVICE as KEYED } from '../support/router-simulation.js';

const SETTLING_TIME = 6_000;
const FAULTS_UNTIL = 24_000;
const RUN_TIME = 45_000;
const CONTACT_TIME = 3_000;
const CRASHES = 3;
const HOT_KEY = 519;
const MAX_LATER_SENDS = 3;
const RESTART_DELAY = 500;
/** For more seeds: `SEEDS=200 node --test dist/test/router/quarantine/test-quarantine-properties.js`. */
const SEEDS = Array.from({ length: Number(process.env['SEEDS'] ?? 4) }, (_, index) => index + 1);

/** A running simulation, and when each daemon and the store last had a fault. */
interface Simulation {
  readonly routerSimulation: RouterSimulation;
  readonly traffic: RequestTraffic;
  readonly lastFaultAt: Map<SimulatedDaemon, number>;
  lastStoreFaultAt: number;
}

function randomDaemon({ routerSimulation }: Simulation): SimulatedDaemon {
  return routerSimulation.daemons[
    routerSimulation.random.integerBelow(routerSimulation.daemons.length)
  ] as SimulatedDaemon;
}

/** Runs an action at random times, with the given mean interval. */
function repeatAtRandom(
  { routerSimulation }: Simulation,
  interval: number,
  from: number,
  until: number,
  action: () => void,
): void {
  const next = (): void => {
    if (routerSimulation.clock.now < until) {
      action();
      routerSimulation.clock.schedule(routerSimulation.random.fraction() * 2 * interval, next);
    }
  };
  routerSimulation.clock.schedule(from + routerSimulation.random.fraction() * interval, next);
}

function createSimulation(seed: number): Simulation {
  const routerSimulation = new RouterSimulation(seed, 6, 8);
  const traffic = new RequestTraffic(routerSimulation, 8);
  const simulation = {
    routerSimulation,
    traffic,
    lastFaultAt: new Map<SimulatedDaemon, number>(),
    lastStoreFaultAt: 0,
  };
  repeatAtRandom(simulation, 25, SETTLING_TIME, RUN_TIME, () => {
    const index = routerSimulation.random.integerBelow(10_000);
    const route = routerSimulation.random.fraction() < 0.5 ? KEYED : BALANCED_SERVICE;
    traffic.sendRequest(randomDaemon(simulation), { name: `r${index}`, route, key: 7 + 512 * (index % 128) });
  });
  return simulation;
}

function killAndRestart(simulation: Simulation, daemons: readonly SimulatedDaemon[]): void {
  const { routerSimulation, lastFaultAt } = simulation;
  daemons.forEach((daemon) => (daemon.alive = false));
  routerSimulation.clock.schedule(RESTART_DELAY, () => {
    daemons.forEach((daemon) => {
      routerSimulation.startDaemon(daemon);
      lastFaultAt.set(daemon, routerSimulation.clock.now);
    });
  });
}

/** Faults of daemons and of the store, by name. */
const DAEMON_FAULTS: Readonly<Record<string, (simulation: Simulation) => void>> = {
  none: () => undefined,
  killLeader: (simulation) => {
    const leader = simulation.routerSimulation.leader();
    killAndRestart(simulation, leader === undefined ? [] : [leader]);
  },
  killSome: (simulation) =>
    killAndRestart(
      simulation,
      simulation.routerSimulation.daemons.filter(() => simulation.routerSimulation.random.fraction() < 0.4),
    ),
  cutOff: (simulation) => {
    const daemon = randomDaemon(simulation);
    daemon.peersReachable = false;
    simulation.routerSimulation.clock.schedule(2_500, () => {
      daemon.peersReachable = true;
      simulation.lastFaultAt.set(daemon, simulation.routerSimulation.clock.now);
    });
  },
  storeDown: (simulation) => {
    simulation.routerSimulation.store.downUntil = simulation.routerSimulation.clock.now + 4_000;
    simulation.lastStoreFaultAt = simulation.routerSimulation.store.downUntil;
  },
};

/**
 * Returns how often daemons that were connected to the others sent a request later than the contact time after enough
 * servers had crashed under it.
 */
function countLateSends({ traffic, lastFaultAt, lastStoreFaultAt }: Simulation, name: string): number {
  const last = traffic.crashes.filter((crash) => crash.name === name)[CRASHES - 1];
  if (last === undefined) {
    return 0;
  }
  return traffic.deliveries.filter(({ name: sent, daemon, at }) => {
    const undisturbedSince = Math.max(lastFaultAt.get(daemon) ?? 0, lastStoreFaultAt) + CONTACT_TIME;
    return sent === name && at > last.at + CONTACT_TIME && at > undisturbedSince;
  }).length;
}

/** Returns the number of requests that were refused because of a quarantine, of deadly or of innocent requests. */
function countQuarantineRefusals({ traffic }: Simulation, isAtFault: boolean): number {
  return traffic.responses.filter(
    ({ reason, name }) => reason === QUARANTINE_REASON && traffic.crashingRequests.has(name) === isAtFault,
  ).length;
}

/** Sends innocent requests: a keyed and an unkeyed one many times a second, and a rare one. */
function startInnocentCallers(simulation: Simulation): void {
  const { traffic } = simulation;
  const callers: readonly [NamedRequest, number][] = [
    [{ name: 'hot-keyed', route: KEYED, key: HOT_KEY }, 15],
    [{ name: 'hot', route: BALANCED_SERVICE, key: 7 }, 15],
    [{ name: 'seldom', route: BALANCED_SERVICE, key: 7 }, 800],
  ];
  for (const [request, interval] of callers) {
    repeatAtRandom(simulation, interval, SETTLING_TIME, RUN_TIME, () =>
      traffic.sendRequest(randomDaemon(simulation), request),
    );
  }
}

function startDeadlyCaller(simulation: Simulation, request: NamedRequest, interval: number): void {
  simulation.traffic.crashingRequests.add(request.name);
  repeatAtRandom(simulation, interval, SETTLING_TIME + 500, RUN_TIME, () =>
    simulation.traffic.sendRequest(randomDaemon(simulation), request),
  );
}

describe('requests that crash servers while daemons have faults', () => {
  for (const [name, fault] of Object.entries(DAEMON_FAULTS)) {
    it(`reach servers at most three more times: ${name}`, () => {
      for (const seed of SEEDS) {
        const simulation = createSimulation(seed);
        startInnocentCallers(simulation);
        startDeadlyCaller(simulation, { name: 'deadly-keyed', route: KEYED, key: HOT_KEY }, 2_500);
        startDeadlyCaller(simulation, { name: 'deadly', route: BALANCED_SERVICE, key: 7 }, 3_000);
        startDeadlyCaller(
          simulation,
          { name: 'deadly-once', route: `${BALANCED_SERVICE}-once`, key: 7 },
          1_500,
        );
        repeatAtRandom(simulation, 5_000, SETTLING_TIME, FAULTS_UNTIL, () => fault(simulation));
        simulation.routerSimulation.clock.runUntil(RUN_TIME);
        const late = [...simulation.traffic.crashingRequests].map((deadly) =>
          countLateSends(simulation, deadly),
        );
        expect(Math.max(...late) <= MAX_LATER_SENDS).toEqual(true);
        expect(countQuarantineRefusals(simulation, true) > 0).toEqual(true);
        expect(countQuarantineRefusals(simulation, false)).toEqual(0);
      }
    });
  }

  it('stay quarantined after all daemons have restarted', () => {
    for (const seed of SEEDS) {
      const simulation = createSimulation(seed);
      startDeadlyCaller(simulation, { name: 'deadly', route: BALANCED_SERVICE, key: 7 }, 3_000);
      simulation.routerSimulation.clock.runUntil(FAULTS_UNTIL);
      const before = simulation.traffic.crashes.length;
      killAndRestart(simulation, simulation.routerSimulation.daemons);
      simulation.routerSimulation.clock.runUntil(RUN_TIME);
      expect(before >= CRASHES).toEqual(true);
      const later = simulation.traffic.crashes.filter(
        ({ at }) => at > FAULTS_UNTIL + RESTART_DELAY + CONTACT_TIME,
      );
      expect(later).toEqual([]);
    }
  });
});

/** Ways in which servers end or seem to end with no request at fault, by the title of their test. */
const SERVER_FAULTS: Readonly<Record<string, (simulation: Simulation) => void>> = {
  'cause no quarantine: crashes': ({ routerSimulation, traffic }) => {
    const alive = routerSimulation.servers.filter((server) => server.alive);
    traffic.crash(alive[routerSimulation.random.integerBelow(alive.length)] as (typeof alive)[number]);
  },
  'cause no quarantine: a share of all servers at once': ({ routerSimulation, traffic }) => {
    const alive = routerSimulation.servers.filter((server) => server.alive);
    alive.filter(() => routerSimulation.random.fraction() < 0.4).forEach((server) => traffic.crash(server));
  },
  'cause no quarantine: connection resets': ({ routerSimulation, traffic }) => {
    const alive = routerSimulation.servers.filter((server) => server.alive);
    alive
      .filter(() => routerSimulation.random.fraction() < 0.5)
      .forEach((server) => traffic.resetConnections(server));
  },
  'cause no quarantine: draining servers': ({ routerSimulation, traffic }) => {
    const alive = routerSimulation.servers.filter((server) => server.alive);
    const draining = alive[routerSimulation.random.integerBelow(alive.length)] as (typeof alive)[number];
    routerSimulation.drain(draining.id);
    routerSimulation.clock.schedule(2_500, () => traffic.crash(draining));
  },
  'cause no quarantine: the owner of the hot key, repeatedly': ({ routerSimulation, traffic }) => {
    const owner = routerSimulation.servers.find((server) => server.holds(HOT_KEY));
    if (owner !== undefined) {
      traffic.crash(owner);
    }
  },
};

describe('servers that crash with no request at fault', () => {
  for (const [name, fault] of Object.entries(SERVER_FAULTS)) {
    it(name, () => {
      for (const seed of SEEDS) {
        const simulation = createSimulation(seed);
        startInnocentCallers(simulation);
        repeatAtRandom(simulation, 2_500, SETTLING_TIME, RUN_TIME, () => fault(simulation));
        simulation.routerSimulation.clock.runUntil(RUN_TIME);
        expect(countQuarantineRefusals(simulation, false)).toEqual(0);
      }
    });
  }
});
