import { expect } from 'earl';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { parseConfiguration, parseServer } from '../../platform/documents.js';
import type { Configuration } from '../../src/router/model/configuration.js';
import { instanceOf } from '../../src/router/model/server-incarnation.js';
import type { ServerDescription } from '../../src/router/model/server.js';
import { toAddress } from '../support/addresses.js';

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

const SERVER_SPEC = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  capacity: 3,
  state: 'ready',
  warmupLeftS: 0,
  sequence: 7,
};

function parseWith(changes: object): Configuration | null {
  const spec = {
    version: 1,
    routes: [ROUTE],
    services: [{ name: 's', maxConns: 9 }],
    limits: LIMITS,
    ...changes,
  };
  return parseConfiguration({ metadata: { name: 'main', revision: 1, made: 1 }, spec }).unwrapOr(null);
}

function parseWithService(service: object): Configuration | null {
  return parseWith({ services: [{ name: 's', maxConns: 9, ...service }] });
}

/** Parses a configuration whose times are all the same number of seconds. */
function parseWithTimes(seconds: number): Configuration | null {
  return parseWith({
    routes: [{ ...ROUTE, timeoutS: seconds, targetLatencyS: seconds }],
    services: [{ name: 's', maxConns: 9, warmupS: seconds }],
    limits: { ...LIMITS, headerTimeoutS: seconds, idleTimeoutS: seconds },
  });
}

function parseEntry(overrides: object): ServerDescription | null {
  return parseServer({
    metadata: { name: 'i-1', revision: 4, made: 2 },
    spec: { ...SERVER_SPEC, ...overrides },
  }).unwrapOr(null);
}

describe('parsing of platform documents', () => {
  it('reads the warm-up time of a service and its request rate during the warm-up', () => {
    const service = parseWithService({ warmupS: 3, warmupPerS: 4.2 })?.services.get('s');
    expect([service?.coldTime, service?.coldRequestRate]).toEqual([3_000, 4.2]);
  });

  it('defaults to no warm-up and no rate limit', () => {
    const service = parseWithService({})?.services.get('s');
    expect([service?.coldTime, service?.coldRequestRate]).toEqual([0, 0]);
  });

  it('converts the remaining warm-up from seconds and ignores an implausible one without rejecting the server', () => {
    expect(parseEntry({ warmupLeftS: 1.5 })?.warmupLeft).toEqual(1_500);
    for (const warmupLeftS of [-1, 1e9]) {
      expect(parseEntry({ warmupLeftS })?.warmupLeft).toEqual(0);
    }
  });

  it('gives incarnations with the same name distinct ids, and uses the name as id if there is no start time', () => {
    expect(parseEntry({})?.id).toEqual('i-1');
    const firstId = parseEntry({ born: 1_764_720_000_000 })?.id ?? '';
    const secondId = parseEntry({ born: 1_764_720_000_001 })?.id ?? '';
    expect(firstId === secondId).toEqual(false);
    expect([firstId, secondId].map(instanceOf)).toEqual(['i-1', 'i-1']);
  });

  // Other writers may store malformed entries. Lenient parsing took a missing capacity for 1, and any unknown state for ready.
  it('rejects a server entry with a missing field, a wrong type or an unknown value', () => {
    for (const field of Object.keys(SERVER_SPEC)) {
      expect(parseEntry({ [field]: undefined })).toEqual(null);
      for (const value of [null, {}, [], true, '', '\ufffd\u0000', -1.5]) {
        const isValid =
          (['zone', 'version'].includes(field) && typeof value === 'string') ||
          // Any service name is valid. A service that is missing from the configuration gets no requests.
          (field === 'service' && typeof value === 'string' && value !== '') ||
          (['warmupLeftS', 'sequence'].includes(field) && typeof value === 'number');
        expect(parseEntry({ [field]: value }) === null).toEqual(!isValid);
      }
    }
    for (const overrides of [
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
      expect(parseEntry(overrides)).toEqual(null);
    }
  });

  // Opening a connection to such an address throws, which ends the process.
  it('rejects a server whose address no connection can be opened to', () => {
    for (const address of [
      '10.0.0.1:0',
      '10.0.0.1:65536',
      '10.0.0.1:70000',
      '10.0.0.1:99999',
      '256.0.0.1:80',
      '999.999.999.999:80',
      '010.0.0.1:80',
      '10.0.0.1:080',
      '10.0.0.1:80:80',
      '10.0.0.1:80\n',
    ]) {
      expect(parseEntry({ address })).toEqual(null);
    }
    expect(parseEntry({ address: '255.0.0.255:65535' })?.address).toEqual(toAddress('255.0.0.255:65535'));
  });

  it('rejects a server whose name is not a valid header value', () => {
    for (const name of ['', 'i 1', 'i\n1', '\u00e9']) {
      const server = parseServer({ metadata: { name, revision: 4, made: 2 }, spec: SERVER_SPEC });
      expect(server.isErr()).toEqual(true);
    }
  });

  // A capacity of two billion made loops of the router so long that it answered nothing.
  it('rejects a server entry whose capacity is implausible', () => {
    expect(parseEntry({ capacity: 100_000 })?.slots).toEqual(100_000);
    for (const capacity of [100_001, 2e9, Number.MAX_SAFE_INTEGER, 1e308, Number.POSITIVE_INFINITY]) {
      expect(parseEntry({ capacity })).toEqual(null);
    }
  });

  // Each daemon sends zones and services on to others.
  it('rejects a server entry whose zone or service is too long or has no UTF-8 encoding', () => {
    for (const name of ['z'.repeat(1_000_000), '\ud800x']) {
      expect(parseEntry({ zone: name })).toEqual(null);
      expect(parseEntry({ service: name })).toEqual(null);
    }
    expect(parseEntry({ zone: 'z'.repeat(500) })?.zone.length).toEqual(500);
  });

  // An infinite idle time-out throws at the end of each answer, and a timer of more than 2 ** 31 milliseconds fires at once.
  it('cuts the times of a configuration to what a timer can wait', () => {
    for (const seconds of [2 ** 31, 1e306, 1e308]) {
      const configuration = parseWithTimes(seconds);
      const { headerTimeout = 0, idleTimeout = 0 } = configuration?.limits ?? {};
      const { timeout = 0, latencyObjective = 0 } = configuration?.routes[0] ?? {};
      const { coldTime = 0 } = configuration?.services.get('s') ?? {};
      for (const time of [headerTimeout, idleTimeout, timeout, latencyObjective, coldTime]) {
        expect(time).toEqual(86_400_000);
      }
    }
  });

  // Sums of infinite weights left a route with one target for good.
  it('keeps the weights of a route finite', () => {
    const weights = [1e308, 1e308, 0.5].map((weight) => ({ service: 's', weight }));
    const [route] = parseWith({ routes: [{ ...ROUTE, targets: weights }] })?.routes ?? [];
    expect(route?.targets.map(({ weight }) => weight)).toEqual([1e9, 1e9, 0.5]);
  });

  it('never throws, whatever an object contains', () => {
    fc.assert(
      fc.property(fc.anything(), fc.string(), (spec, name) => {
        const object = { metadata: { name, revision: 1, made: 1 }, spec };
        parseServer(object);
        parseConfiguration(object);
      }),
      { seed: 42 },
    );
  });
});
