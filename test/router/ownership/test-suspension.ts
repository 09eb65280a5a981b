/**
 * Guards against two owners of a key after the suspension of a leader's machine. The machine was suspended
 * for some seconds while a server was cut off. Another daemon took over, waited for the leases of the server
 * to expire, and reassigned its keys. When the server was reachable again and the machine resumed, the former
 * leader renewed the leases that it knew before any answer of the store, so two servers held the same keys.
 *
 * The monotonic clock, by which a leader measures the age of its last confirmation, stops while a machine is
 * suspended, so no time had passed for the leader. A process that was merely stopped finds the clock ahead,
 * and steps down.
 *
 * In 12 such simulations two servers held one key 9 times (`s1 takes 519 (fence 12), s4 holds it (14)`); on a
 * clock that continues during a suspension, never.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { type SimulatedDaemon, RouterSimulation, SERVICE } from '../support/router-simulation.js';
import { CHECKED_KEYS } from '../support/simulated-server.js';

const SETTLED = 6_000;
const SIMULATED_TIME = 40_000;
const SEEDS = Array.from({ length: Number(process.env['SEEDS'] ?? 12) }, (_, index) => index + 1);
/**
 * A boot clock that runs independently of the simulated time, as under a simulator that does not control it.
 */
const INDEPENDENT_BOOT_CLOCK = (now: number): number => Math.floor((now * 1.7) / 10) * 10;

/** Requests hot keys that change, so that the plan keeps moving units. */
function addLoad(world: RouterSimulation): void {
  const sendRequests = (): void => {
    const hot = 7 + 512 * ((Math.floor(world.clock.now / 2_000) * 31) % 128);
    for (let count = 0; count < 6; count += 1) {
      const cold = CHECKED_KEYS[world.random.integerBelow(CHECKED_KEYS.length)] as number;
      world.countKeyRequests([world.random.fraction() < 0.6 ? hot : cold]);
    }
    world.clock.schedule(50, sendRequests);
  };
  world.clock.schedule(1_000, sendRequests);
}

/**
 * Suspends the leader while some servers are cut off: its successor waits for their leases to expire, and
 * moves their keys.
 */
function suspendLeader(world: RouterSimulation): void {
  const leader = world.leader();
  if (leader !== undefined) {
    const length = 6_000 + world.random.fraction() * 2_500;
    world.suspend(leader, length);
    const cutOff = world.servers.filter((_, index) => index % 3 === 0);
    cutOff.forEach((server) => (server.reachable = false));
    world.clock.schedule(length - 1, () => cutOff.forEach((server) => (server.reachable = true)));
  }
}

function simulate(seed: number, bootClock?: (now: number) => number): RouterSimulation {
  const world = new RouterSimulation(seed);
  world.bootClock = bootClock ?? world.bootClock;
  addLoad(world);
  for (let at = SETTLED; at < SIMULATED_TIME - 9_000; at += 9_000) {
    world.clock.schedule(at + world.random.fraction() * 2_000, () => suspendLeader(world));
  }
  world.clock.runUntil(SIMULATED_TIME);
  return world;
}

function violations(bootClock?: (now: number) => number): string[] {
  return SEEDS.flatMap((seed) => simulate(seed, bootClock).checker.violations);
}

/**
 * Returns a simulation in which a daemon has a request in progress at a server when its machine is suspended.
 */
function worldWithRequest(): { world: RouterSimulation; daemon: SimulatedDaemon } {
  const world = new RouterSimulation(1);
  world.clock.runUntil(SETTLED);
  const daemon = world.daemons.find(({ state }) => state.leadership === null) as SimulatedDaemon;
  world.deliver(daemon, {
    kind: 'requestArrived',
    requestId: 1,
    attemptId: 'a-1',
    method: 'GET',
    host: 'h.example',
    target: `/${SERVICE}/1`,
    callerTimeout: 900,
    key: 7,
    fingerprint: { head: '', value: '' },
    readDelay: 0,
  });
  return { world, daemon };
}

describe('a machine that was suspended', () => {
  it('grants no server a key that another one holds', () => {
    expect(violations()).toEqual([]);
  });

  it('grants no such key when only the wall clock shows the suspension', () => {
    expect(violations(INDEPENDENT_BOOT_CLOCK)).toEqual([]);
  });

  it('ends requests whose callers left during the suspension', () => {
    const { world, daemon } = worldWithRequest();
    expect(daemon.state.requests.size).toEqual(1);
    world.suspend(daemon, 5_000);
    world.clock.runUntil(SETTLED + 5_050);
    expect(daemon.state.requests.size).toEqual(0);
  });
});
