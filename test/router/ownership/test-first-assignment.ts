import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RouterSimulation } from '../support/router-simulation.js';

const APPEARANCE_INTERVAL = 400;
const LATE_SERVERS = 8;

/** Adds servers that become known one after the other, as when a deployment starts. */
function addServersOneByOne(simulation: RouterSimulation): void {
  for (let index = 0; index < LATE_SERVERS; index += 1) {
    simulation.clock.schedule((index + 1) * APPEARANCE_INTERVAL, () =>
      simulation.addServer(`10.0.3.${index}:80`),
    );
  }
}

function owners(simulation: RouterSimulation): Set<string> {
  return new Set(simulation.leader()?.state.leadership?.table.units.map((unit) => unit.owner));
}

describe('the first assignment', () => {
  // Without the wait, one of eleven servers was known after a second, was assigned every key, and was
  // overloaded for 18 s while the others had spare capacity.
  it('waits while servers keep becoming known and no keys are requested', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const simulation = new RouterSimulation(seed, 3, 1);
      addServersOneByOne(simulation);
      simulation.clock.runUntil(8_000);
      expect(owners(simulation).size).toEqual(LATE_SERVERS + 1);
      const moved = simulation.events.filter((line) => line.includes('unit_released'));
      expect(moved).toEqual([]);
    }
  });

  it('does not wait when callers request keys', () => {
    const simulation = new RouterSimulation(1, 3, 1);
    addServersOneByOne(simulation);
    const sendRequest = (): void => {
      simulation.countKeyRequests([7]);
      simulation.clock.schedule(100, sendRequest);
    };
    simulation.clock.schedule(500, sendRequest);
    simulation.clock.runUntil(1_900);
    expect(simulation.unservedKeys()).toEqual([]);
  });

  it('waits for a few seconds at most', () => {
    const simulation = new RouterSimulation(1, 3, 1);
    for (let index = 0; index < 40; index += 1) {
      simulation.clock.schedule((index + 1) * APPEARANCE_INTERVAL, () =>
        simulation.addServer(`10.0.3.${index}:80`),
      );
    }
    simulation.clock.runUntil(7_000);
    expect(simulation.unservedKeys()).toEqual([]);
  });
});
