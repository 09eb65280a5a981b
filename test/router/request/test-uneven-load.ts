/** Uneven load of one route: a zone at its peak, servers of different speed, and servers that reject by fault. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { BalancedTraffic, type TrafficSetting } from '../support/balanced-traffic.js';
import { URGENT, URGENT_WORK } from '../support/surges.js';

const SETTLED = 2_000;
const END = 8_000;
const ZONES = 4;

function createTraffic(
  demand: (now: number, zone: number) => number,
  setting: Partial<TrafficSetting> = {},
): BalancedTraffic {
  const routes = [{ route: URGENT, work: URGENT_WORK, demand }];
  return new BalancedTraffic({ seed: 2, daemons: 40, servers: 40, zones: ZONES, routes, ...setting });
}

interface Outcome {
  readonly inTime: number;
  readonly otherZones: number;
  readonly rejectedFull: number;
}

function run(traffic: BalancedTraffic): Outcome {
  traffic.clock.runUntil(SETTLED);
  traffic.resetCounts();
  traffic.clock.runUntil(END);
  const counts = traffic.countsOf(URGENT);
  return {
    inTime: counts.inTime / counts.requests,
    otherZones: traffic.sendsToOtherZones / traffic.sends,
    rejectedFull: traffic.rejectedFull / traffic.sends,
  };
}

describe('a service of one route', () => {
  it('keeps requests in their zone while all zones have the same demand', () => {
    const outcome = run(createTraffic(() => 0.45));
    expect(outcome.inTime >= 0.99).toEqual(true);
    expect(outcome.otherZones < 0.02).toEqual(true);
  });

  // Guards against a cost of other zones so high that requests wait in a busy zone while other zones have idle servers.
  it('answers in time in a zone at its peak, with the servers of other zones', () => {
    const wave = (now: number, zone: number): number =>
      0.6 * (1 + 0.55 * Math.sin((now / 3_000 + zone / ZONES) * 2 * Math.PI));
    const outcome = run(createTraffic(wave));
    expect(outcome.inTime >= 0.98).toEqual(true);
    expect(outcome.otherZones < 0.3).toEqual(true);
    expect(outcome.rejectedFull < 0.01).toEqual(true);
  });

  // Guards against sending slow servers as many requests as fast ones.
  it('answers in time although server speeds differ by a factor of 2.7', () => {
    const traffic = createTraffic(() => 0.45);
    traffic.servers.forEach((server, index) => (server.slowness = 0.6 + (index % 9) * 0.125));
    expect(run(traffic).inTime >= 0.98).toEqual(true);
  });

  // A fifth of the servers take three times as long, and which these are changes every 0.4 s.
  it('answers most requests in time although slow servers change quickly', () => {
    const traffic = createTraffic(() => 0.45);
    const change = (round: number): void => {
      traffic.servers.forEach((server, index) => (server.slowness = (index + round) % 5 === 0 ? 3 : 1));
      traffic.clock.schedule(400, () => change(round + 2));
    };
    change(0);
    expect(run(traffic).inTime >= 0.95).toEqual(true);
  });

  // A server that rejects by fault looks idle. Four of 40 such servers got a sixth of the sends, and 136 of 4,584 requests were refused.
  it('answers in time although four servers reject half of their requests', () => {
    const traffic = createTraffic(() => 0.45);
    [3, 10, 17, 24].forEach((index) => Object.assign(traffic.servers[index] ?? {}, { faultShare: 0.5 }));
    const outcome = run(traffic);
    expect(outcome.inTime >= 0.98).toEqual(true);
    expect(traffic.rejectedByFault / traffic.sends < 0.1).toEqual(true);
  });

  it('has no reserved servers', () => {
    const traffic = createTraffic(() => 0.9);
    run(traffic);
    expect(traffic.reservedSizes().every((size) => size === 0)).toEqual(true);
  });
});
