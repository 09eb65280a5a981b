import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { ControlEffect } from '../../../src/router/effects.js';
import { LAST_KEY } from '../../../src/router/model/identifiers.js';
import { RouterSimulation, SERVICE } from '../support/router-simulation.js';

/** Releases every key of a server under a fence, so that the server refuses grants with lower fences. */
function releaseAllKeys(simulation: RouterSimulation, fence: number): string {
  const [server] = simulation.servers;
  if (server === undefined) {
    throw new Error('no server');
  }
  const release: ControlEffect = {
    kind: 'control',
    callId: 0,
    action: 'release',
    server: server.id,
    address: server.address,
    from: 0,
    to: LAST_KEY,
    fence,
    hold: 0,
    handover: null,
    timeout: 0,
    healthPath: '',
  };
  server.handleCall(release);
  return server.id;
}

describe('a grant that was refused for its fence', () => {
  it('is not retried with that fence while the store accepts no writes', () => {
    const simulation = new RouterSimulation(1);
    simulation.clock.runUntil(6_000);
    const table = simulation.leader()?.state.leadership?.table;
    simulation.store.downUntil = simulation.clock.now + 4_000;
    releaseAllKeys(simulation, table?.nextFence ?? 0);
    simulation.clock.runUntil(simulation.clock.now + 3_900);
    const units = table?.units.filter((unit) => unit.owner === simulation.servers[0]?.id) ?? [];
    expect(units.length > 0).toEqual(true);
    expect(simulation.servers[0]?.refused.length).toEqual(units.length);
  });

  it('is retried with a new fence once the store accepts writes', () => {
    const simulation = new RouterSimulation(1);
    simulation.clock.runUntil(6_000);
    simulation.store.downUntil = simulation.clock.now + 2_000;
    releaseAllKeys(simulation, (simulation.leader()?.state.leadership?.table.nextFence ?? 0) - 1);
    simulation.clock.runUntil(simulation.clock.now + 5_000);
    expect(simulation.unservedKeys()).toEqual([]);
    expect(simulation.checker.violations).toEqual([]);
    expect(simulation.leader()?.state.ownershipView.units.some((unit) => unit.service === SERVICE)).toEqual(
      true,
    );
  });
});
