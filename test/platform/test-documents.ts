import { expect } from 'earl';
import { describe, it } from 'node:test';
import { readConfiguration, readServer } from '../../platform/documents.js';

const ROUTE = {
  name: 'r',
  host: 'h.example',
  pathPrefix: '/r/',
  routeType: 'unsafe',
  timeoutS: 2.5,
  targetLatencyS: 0.8,
  priority: 1,
  maxAttempts: 2,
  service: 's',
};
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutS: 1, idleTimeoutS: 1 };

function configuration(service: object): ReturnType<typeof readConfiguration> {
  const spec = {
    version: 1,
    routes: [ROUTE],
    services: [{ name: 's', maxConns: 9, ...service }],
    limits: LIMITS,
  };
  return readConfiguration({ metadata: { name: 'main', revision: 1, made: 1 }, spec });
}

function server(change: object): ReturnType<typeof readServer> {
  const spec = { service: 's', address: '10.0.0.1:80', state: 'ready', capacity: 3, ...change };
  return readServer({ metadata: { name: 'i-1', revision: 4, made: 2 }, spec });
}

describe("the platform's documents", () => {
  it('tell how long servers stay cold and what they bear meanwhile', () => {
    const service = configuration({ warmupS: 3, warmupPerS: 4.2 })?.services.get('s');
    expect([service?.coldTime, service?.coldRequestRate]).toEqual([3_000, 4.2]);
  });

  it('set no bound for cold servers where they say nothing', () => {
    const service = configuration({})?.services.get('s');
    expect([service?.coldTime, service?.coldRequestRate]).toEqual([0, 0]);
  });

  it('have a warm-up in seconds; nonsense is taken for none, and the server is still listed', () => {
    expect(server({ warmupLeftS: 1.5 })?.warmupLeft).toEqual(1_500);
    for (const warmupLeftS of [-1, 1e9, 'soon', null]) {
      expect(server({ warmupLeftS })?.warmupLeft).toEqual(0);
    }
  });
});
