import { expect } from 'earl';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readConfiguration, readServer } from '../../platform/documents.js';
import { instanceOf } from '../../src/router/model/server-incarnation.js';

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

const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  capacity: 3,
  state: 'ready',
  warmupLeftS: 0,
  sequence: 7,
};

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
  return readServer({ metadata: { name: 'i-1', revision: 4, made: 2 }, spec: { ...ENTRY, ...change } });
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

  it('have a warm-up in seconds; a length that cannot be is taken for none, and the server is still listed', () => {
    expect(server({ warmupLeftS: 1.5 })?.warmupLeft).toEqual(1_500);
    for (const warmupLeftS of [-1, 1e9]) {
      expect(server({ warmupLeftS })?.warmupLeft).toEqual(0);
    }
  });

  it('tell two lives under one name apart, and one that says no birth by its name', () => {
    expect(server({})?.id).toEqual('i-1');
    const first = server({ born: 1_764_720_000_000 })?.id ?? '';
    const second = server({ born: 1_764_720_000_001 })?.id ?? '';
    expect(first === second).toEqual(false);
    expect([first, second].map(instanceOf)).toEqual(['i-1', 'i-1']);
  });

  // Entries come from other writers, too: a missing capacity was taken for 1, and any state but one for ready.
  it('name no server where a field is missing, of another type or of a value that is not known', () => {
    for (const field of Object.keys(ENTRY)) {
      expect(server({ [field]: undefined })).toEqual(null);
      for (const value of [null, {}, [], true, '', '\ufffd\u0000', -1.5]) {
        const isFine =
          (['zone', 'version'].includes(field) && typeof value === 'string') ||
          // A service that no configuration names gets no request.
          (field === 'service' && typeof value === 'string' && value !== '') ||
          (['warmupLeftS', 'sequence'].includes(field) && typeof value === 'number');
        expect(server({ [field]: value }) === null).toEqual(!isFine);
      }
    }
    for (const change of [
      { state: 'leaving' },
      { state: 'READY' },
      { capacity: 0 },
      { capacity: 2.5 },
      { address: '10.0.0.1' },
      { address: 'elsewhere:80' },
      { born: 'yesterday' },
      { born: 1.5 },
      { born: null },
    ]) {
      expect(server(change)).toEqual(null);
    }
  });

  it('name no server for a name that no header can carry', () => {
    for (const name of ['', 'i 1', 'i\n1', '\u00e9']) {
      expect(readServer({ metadata: { name, revision: 4, made: 2 }, spec: ENTRY })).toEqual(null);
    }
  });

  it('are read without an error, whatever they hold', () => {
    fc.assert(
      fc.property(fc.anything(), fc.string(), (spec, name) => {
        const object = { metadata: { name, revision: 1, made: 1 }, spec };
        readServer(object);
        readConfiguration(object);
      }),
      { seed: 42 },
    );
  });
});
