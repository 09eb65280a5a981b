/*
 * A server's word that it leaves reaches the daemon that had the answer first. The others hear it along the tree, the leader among them, so that
 * keys move on before the server stops taking requests for them: the list in the store may say so much later, or never.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { LeavingServers } from '../../../src/router/notices/leaving-servers.js';
import { BOUNDS } from '../support/bounds.js';
import { type Daemon, RouterWorld } from '../support/router-world.js';

const SETTLED = 6_000;
/** Under a calm leader word passes within this time, in ms. */
const SPREAD = 100;

function owns(world: RouterWorld, server: string): boolean {
  return (world.leader()?.state.view.units ?? []).some(({ owner }) => owner === server);
}

/** A daemon that doesn't lead gets an answer of a server that says that it leaves. */
function sayLeaving(world: RouterWorld): { daemon: Daemon; server: string; saidAt: number } {
  const daemon = world.daemons.find(({ state }) => state.leadership === null) as Daemon;
  const server = 's2';
  world.deliver(daemon, { kind: 'serverNoticed', server, notice: { leaving: true, rest: null } });
  return { daemon, server, saidAt: world.clock.now };
}

describe('the word that a server leaves', () => {
  it('reaches every daemon, and its keys move on while it still takes requests for them', () => {
    const world = new RouterWorld(3, 6, 5);
    world.clock.runUntil(SETTLED);
    expect(owns(world, 's2')).toEqual(true);
    const { server, saidAt } = sayLeaving(world);
    world.clock.runUntil(saidAt + SPREAD);
    for (const { state } of world.daemons) {
      expect((state.servers.get(server)?.drainingSince ?? 0) - saidAt < SPREAD).toEqual(true);
    }
    world.clock.runUntil(saidAt + BOUNDS.drain / 2);
    expect(owns(world, server)).toEqual(false);
    expect(world.unservedKeys()).toEqual([]);
    expect(world.checker.violations).toEqual([]);
  });

  it('holds through an outage of the store, and for the leader that comes after it', () => {
    const world = new RouterWorld(4, 6, 5);
    world.clock.runUntil(SETTLED);
    world.daemons.forEach((daemon) => (daemon.storeReachable = false));
    const { server, saidAt } = sayLeaving(world);
    world.clock.runUntil(saidAt + 11_000);
    world.daemons.forEach((daemon) => (daemon.storeReachable = true));
    world.clock.runUntil(saidAt + 15_000);
    expect(world.daemons.every(({ state }) => state.leaving.since(server) !== null)).toEqual(true);
    expect(owns(world, server)).toEqual(false);
    expect(world.checker.violations).toEqual([]);
  });

  it('is learned by a daemon that starts anew', () => {
    const world = new RouterWorld(5, 6, 5);
    world.clock.runUntil(SETTLED);
    const { daemon, server, saidAt } = sayLeaving(world);
    world.clock.runUntil(saidAt + SPREAD);
    daemon.alive = false;
    world.clock.runUntil(saidAt + 500);
    world.startDaemon(daemon);
    world.clock.runUntil(saidAt + 4_000);
    const heard = daemon.state.leaving.since(server);
    // Each clock runs by itself: what counts is how long ago it was said.
    const age = daemon.clock.now() - (heard ?? Number.NaN);
    expect(Math.abs(age - (world.clock.now - saidAt)) < SPREAD).toEqual(true);
  });
});

describe('the table of servers that leave', () => {
  it('keeps the earliest moment, and calls only a new server or a clearly earlier moment news', () => {
    const leaving = new LeavingServers();
    expect(leaving.note('s1', 1_000)).toEqual(true);
    expect(leaving.note('s1', 1_200)).toEqual(false);
    expect(leaving.note('s1', 950)).toEqual(false);
    expect(leaving.since('s1')).toEqual(950);
    expect(leaving.note('s1', 300)).toEqual(true);
    expect(leaving.since('s1')).toEqual(300);
  });

  it('is bounded', () => {
    const leaving = new LeavingServers();
    for (let index = 0; index < 2_000; index += 1) {
      leaving.note(`s${index}`, index);
    }
    expect(leaving.statement(2_000).length).toEqual(512);
  });
});
