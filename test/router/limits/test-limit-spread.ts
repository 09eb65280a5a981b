/*
 * A server's limit holds for all daemons together. The daemon that had the answer tells the others along the tree, those included that have
 * had no answer of that server; a daemon that starts learns of it from its parent.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { type Daemon, RouterWorld } from '../support/router-world.js';

const SETTLED = 6_000;
/** Under a calm leader word passes within this time, in ms. */
const SPREAD = 150;
const SERVER = 's2';

/** A daemon gets an answer of a server that names a limit, or none. */
function answer(world: RouterWorld, daemon: Daemon, reading: number | null): void {
  const now = daemon.clock.now();
  world.deliver(daemon, { kind: 'serverLimitRead', server: SERVER, reading, sentAt: now - 0.5 });
}

function follower(world: RouterWorld): Daemon {
  return world.daemons.find(({ state }) => state.leadership === null) as Daemon;
}

function limits(world: RouterWorld): (number | null)[] {
  return world.daemons.map(({ state }) => state.limits.of(SERVER));
}

/** The server's answers to calls say what the tests have daemons read. */
function nameLimit(world: RouterWorld, rate: number | null): void {
  world.servers.filter(({ id }) => id === SERVER).forEach((server) => (server.limit = rate));
}

describe('the word of a limit', () => {
  it('reaches every daemon, and so do its change and its end', () => {
    const world = new RouterWorld(3, 6, 5);
    world.clock.runUntil(SETTLED);
    for (const rate of [3, 1.5, 6, 0, null]) {
      nameLimit(world, rate);
      answer(world, follower(world), rate);
      world.clock.runUntil(world.clock.now + SPREAD);
      expect(limits(world)).toEqual(world.daemons.map(() => rate));
    }
  });

  it('reaches every daemon of 40, through relays', () => {
    const world = new RouterWorld(4, 40, 5);
    world.clock.runUntil(SETTLED);
    nameLimit(world, 3);
    answer(world, world.daemons.at(-1) as Daemon, 3);
    world.clock.runUntil(SETTLED + SPREAD);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
  });

  it('is heard by the leader in the answers to its calls, where no request goes to the server', () => {
    const world = new RouterWorld(5, 6, 5);
    world.clock.runUntil(SETTLED);
    nameLimit(world, 3);
    world.clock.runUntil(SETTLED + 1_000);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
    nameLimit(world, null);
    world.clock.runUntil(SETTLED + 2_000);
    expect(limits(world)).toEqual(world.daemons.map(() => null));
  });

  it('passes while the store is away', () => {
    const world = new RouterWorld(6, 6, 5);
    world.clock.runUntil(SETTLED);
    world.daemons.forEach((daemon) => (daemon.storeReachable = false));
    world.clock.runUntil(SETTLED + 2_000);
    nameLimit(world, 3);
    answer(world, follower(world), 3);
    world.clock.runUntil(SETTLED + 2_000 + SPREAD);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
  });

  it('is learned by a daemon that starts anew', () => {
    const world = new RouterWorld(7, 6, 5);
    world.clock.runUntil(SETTLED);
    const daemon = follower(world);
    nameLimit(world, 3);
    daemon.alive = false;
    world.clock.runUntil(SETTLED + 1_000);
    world.startDaemon(daemon);
    world.clock.runUntil(SETTLED + 3_000);
    expect(daemon.state.limits.of(SERVER)).toEqual(3);
  });

  it('holds where two daemons read different things at once: the limit does, until a later request tells of its end', () => {
    const world = new RouterWorld(8, 6, 5);
    world.clock.runUntil(SETTLED);
    const [first, second] = world.daemons as [Daemon, Daemon];
    nameLimit(world, 3);
    answer(world, first, 3);
    world.clock.runUntil(SETTLED + SPREAD);
    const sentAt = second.clock.now();
    world.clock.runUntil(SETTLED + SPREAD + 20);
    answer(world, first, 3);
    world.deliver(second, { kind: 'serverLimitRead', server: SERVER, reading: null, sentAt });
    world.clock.runUntil(SETTLED + 2 * SPREAD);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
  });

  it('is told as changes only: a limit that stays costs the links nothing', () => {
    const world = new RouterWorld(9, 6, 5);
    world.clock.runUntil(SETTLED);
    nameLimit(world, 3);
    world.clock.runUntil(SETTLED + 5_000);
    const lines = world.events.filter((line) => line.includes('server_names_limit'));
    expect(lines.length).toEqual(world.daemons.length);
  });
});
