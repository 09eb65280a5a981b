/**
 * A leader's machine was suspended for some seconds and a server was cut off; another daemon took over, waited for the server's leases to
 * end, and gave its keys to others. Then the server was back and the machine went on, and the first thing that its process did, before any
 * answer of the store, was to renew the leases that it knew: two servers held the same keys.
 *
 * The steady clock, by which a leader judges how old the confirmation of its leadership is, stands still while a machine is suspended, so
 * that no time had passed for the leader. A process that is merely stopped finds the clock ahead, and gives up.
 *
 * In 12 such worlds two servers held one key 9 times (`s1 takes 519 (fence 12), s4 holds it (14)`); on a clock that goes on, never.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { type Daemon, RouterWorld, SERVICE } from '../support/router-world.js';
import { WATCHED_KEYS } from '../support/model-server.js';

const SETTLED = 6_000;
const LENGTH = 40_000;
const SEEDS = Array.from({ length: Number(process.env['SEEDS'] ?? 12) }, (_, index) => index + 1);
/** As under a simulator that leaves it alone: it runs by another time than all else. */
const FOREIGN_BOOT_CLOCK = (now: number): number => Math.floor((now * 1.7) / 10) * 10;

/** Hot keys that change, so that the plan moves units all the time. */
function addLoad(world: RouterWorld): void {
  const ask = (): void => {
    const hot = 7 + 512 * ((Math.floor(world.clock.now / 2_000) * 31) % 128);
    for (let count = 0; count < 6; count += 1) {
      const cold = WATCHED_KEYS[world.random.below(WATCHED_KEYS.length)] as number;
      world.ask([world.random.fraction() < 0.6 ? hot : cold]);
    }
    world.clock.after(50, ask);
  };
  world.clock.after(1_000, ask);
}

/** Servers are cut off while the leader is away: its successor waits for their leases to end, and moves their keys. */
function suspendLeader(world: RouterWorld): void {
  const leader = world.leader();
  if (leader !== undefined) {
    const length = 6_000 + world.random.fraction() * 2_500;
    world.suspend(leader, length);
    const cutOff = world.servers.filter((_, index) => index % 3 === 0);
    cutOff.forEach((server) => (server.reachable = false));
    world.clock.after(length - 1, () => cutOff.forEach((server) => (server.reachable = true)));
  }
}

function play(seed: number, bootClock?: (now: number) => number): RouterWorld {
  const world = new RouterWorld(seed);
  world.bootClock = bootClock ?? world.bootClock;
  addLoad(world);
  for (let at = SETTLED; at < LENGTH - 9_000; at += 9_000) {
    world.clock.after(at + world.random.fraction() * 2_000, () => suspendLeader(world));
  }
  world.clock.runUntil(LENGTH);
  return world;
}

function violations(bootClock?: (now: number) => number): string[] {
  return SEEDS.flatMap((seed) => play(seed, bootClock).checker.violations);
}

/** A daemon that has a request under way at a server when its machine is suspended. */
function worldWithRequest(): { world: RouterWorld; daemon: Daemon } {
  const world = new RouterWorld(1);
  world.clock.runUntil(SETTLED);
  const daemon = world.daemons.find(({ state }) => state.leadership === null) as Daemon;
  world.deliver(daemon, {
    kind: 'requestArrived',
    requestId: 1,
    attemptId: 'a-1',
    method: 'GET',
    host: 'h.example',
    target: `/${SERVICE}/1`,
    callerPatience: 900,
    key: 7,
    fingerprint: { head: '', value: '' },
    readDelay: 0,
  });
  return { world, daemon };
}

describe('a machine that was suspended', () => {
  it('has given no server a key that another one holds', () => {
    expect(violations()).toEqual([]);
  });

  it('has given none, either, where only the time of day tells of the suspension', () => {
    expect(violations(FOREIGN_BOOT_CLOCK)).toEqual([]);
  });

  it('ends requests whose callers have left long ago', () => {
    const { world, daemon } = worldWithRequest();
    expect(daemon.state.requests.size).toEqual(1);
    world.suspend(daemon, 5_000);
    world.clock.runUntil(SETTLED + 5_050);
    expect(daemon.state.requests.size).toEqual(0);
  });
});
