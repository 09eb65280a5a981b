import { expect } from 'earl';
import { describe, it } from 'node:test';
import { createDeployment, keyedServers, leaderOf, SETTLED } from '../support/settled-deployment.js';
import type { RouterSimulation } from '../support/router-simulation.js';

function logged({ events }: RouterSimulation, name: string): Record<string, number>[] {
  return events
    .map((line) => line.split(' '))
    .filter(([at, , event]) => Number(at) > SETTLED && event === name)
    .map(([, , , ...fields]) => JSON.parse(fields.join(' ')) as Record<string, number>);
}

describe('the log of lease renewals', () => {
  it('says when every owner has accepted a grant of a new leader', () => {
    const { simulation } = createDeployment(61);
    simulation.stopDaemon(leaderOf(simulation), 1_000);
    simulation.clock.runUntil(SETTLED + 3_000);
    const [resumed, ...others] = logged(simulation, 'leases_resumed');
    expect(others).toEqual([]);
    expect((resumed?.['units'] ?? 0) > 0).toEqual(true);
    expect((resumed?.['took'] ?? 1_000) < 300).toEqual(true);
    expect(logged(simulation, 'renewals_late')).toEqual([]);
  });

  it('says that renewals are late when owners accept none for longer than a lease', () => {
    const { simulation } = createDeployment(62);
    keyedServers(simulation).forEach((server) => {
      server.alive = false;
    });
    simulation.clock.runUntil(SETTLED + 6_000);
    const late = logged(simulation, 'renewals_late');
    expect(late.length >= 2 && late.length <= 5).toEqual(true);
    expect(late[1]?.['units']).toEqual(late[1]?.['of']);
    expect((late[0]?.['oldest'] ?? 0) > 2_500).toEqual(true);
  });
});
