/**
 * A caller sent a request that ends each server which begins to run it, and came again with it every three to five seconds. After three
 * servers had ended under it, it was sent to servers four times more; seven had ended in 12 s, and a tenth of the other
 * requests of their service was refused meanwhile.
 *
 * Each time the connection closed, the caller got 502, and its next try went to another daemon, which sent it to whichever server owned
 * the key by then. To a daemon the end of a server was a lost attempt like any other, and nothing of it outlived the request, so
 * that no daemon knew what the same request had done before, here or elsewhere.
 *
 * The stories of the tries settled it: each is at another daemon and names one server (`its run ends: crashed`), and they are 3.0 to 4.8 s
 * apart, where a daemon's own repetition comes after 60 ms. In these worlds `request_failed` lines at different daemons have one
 * fingerprint and end in `lost: other side closed`.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RequestTraffic, PLAIN, type NamedRequest } from '../support/request-traffic.js';
import { RouterWorld, SERVICE as KEYED } from '../support/router-world.js';

/** Daemons have found their places, and servers hold their keys, by then. */
const SETTLED = 6_000;
const LENGTH = 45_000;
/** How often the caller comes back, at least, and how much later at most. */
const RETURN = 2_800;
const RETURN_SPREAD = 2_000;
/** A daemon that was in touch this long knows what others have seen. */
const CONTACT = 3_000;
/** A request under which this many servers have ended ... */
const CRASHES = 3;
/** ... reaches servers this often at most from then on, sent by all daemons together. */
const LATER_SENDS = 3;

const SEEDS = [1, 2, 3, 4];

function ordinaryTraffic(world: RouterWorld, traffic: RequestTraffic): void {
  const next = (): void => {
    const index = world.random.below(10_000);
    const route = world.random.fraction() < 0.5 ? KEYED : PLAIN;
    const daemon = world.daemons[world.random.below(world.daemons.length)];
    if (daemon !== undefined) {
      traffic.ask(daemon, { name: `r${index}`, route, key: 7 + 512 * (index % 128) });
    }
    world.clock.after(20, next);
  };
  world.clock.after(SETTLED, next);
}

/** A caller that comes again and again with the same request, each time at any daemon. */
function insistentCaller(world: RouterWorld, traffic: RequestTraffic, request: NamedRequest): void {
  traffic.deadly.add(request.name);
  const next = (): void => {
    const daemon = world.daemons[world.random.below(world.daemons.length)];
    if (daemon !== undefined) {
      traffic.ask(daemon, request);
    }
    world.clock.after(RETURN + world.random.fraction() * RETURN_SPREAD, next);
  };
  world.clock.after(SETTLED + 1_000, next);
}

/** How often a request reached servers later than it may after enough of them had ended under it. */
function lateSends(traffic: RequestTraffic, name: string): number {
  const crashes = traffic.crashes.filter((crash) => crash.name === name);
  const last = crashes[CRASHES - 1];
  if (last === undefined) {
    return 0;
  }
  return traffic.sends.filter((send) => send.name === name && send.at > last.at + CONTACT).length;
}

function play(seed: number, request: NamedRequest): RequestTraffic {
  const world = new RouterWorld(seed, 5, 8);
  const traffic = new RequestTraffic(world, 8);
  ordinaryTraffic(world, traffic);
  insistentCaller(world, traffic, request);
  world.clock.runUntil(LENGTH);
  return traffic;
}

describe('a request under which servers end', () => {
  it('is not sent on and on to owners of its key', () => {
    for (const seed of SEEDS) {
      const traffic = play(seed, { name: 'deadly', route: KEYED, key: 7 });
      expect(traffic.crashes.length >= CRASHES).toEqual(true);
      expect(lateSends(traffic, 'deadly') <= LATER_SENDS).toEqual(true);
    }
  });

  it('is not sent on and on to servers of which any can run it', () => {
    for (const seed of SEEDS) {
      const traffic = play(seed, { name: 'deadly', route: PLAIN, key: 7 });
      expect(traffic.crashes.length >= CRASHES).toEqual(true);
      expect(lateSends(traffic, 'deadly') <= LATER_SENDS).toEqual(true);
    }
  });
});
