import { expect } from 'earl';
import { describe, it } from 'node:test';
import { checkRouterSettings } from '../../src/router/router-settings.js';

const GOOD = {
  daemon: 'front-a-1',
  zone: 'a',
  listen: { http: '10.0.0.1:80', readiness: '10.0.0.1:81', admin: '10.0.0.1:82', peers: '10.0.0.1:83' },
  store: { address: '10.9.0.1:80', history: 20 },
  limits: { memoryMegabytes: 350 },
  timing: { stopGrace: 6, drain: 2, configuration: 2, longestLease: 10, retryWindow: 10 },
  retries: { ratio: 0.2, extra: 62 },
  later: { unknown: true },
};

describe('the settings of a router daemon', () => {
  it('convert seconds to milliseconds and ignore unknown fields', () => {
    const settings = checkRouterSettings(GOOD, 'test');
    expect(settings.isOk() && settings.value.timing.stopGrace).toEqual(6_000);
  });

  it('may omit evacuations and the limits on cold servers', () => {
    const coldStart = { factor: null, slack: null };
    const timing = { ...GOOD.timing, evacuation: null };
    const settings = checkRouterSettings({ ...GOOD, timing, coldStart }, 'test');
    expect(settings.isOk() && settings.value.coldStart).toEqual(null);
    expect(settings.isOk() && settings.value.timing.evacuation).toEqual(null);
    expect(checkRouterSettings(GOOD, 'test').isOk()).toEqual(true);
  });

  it('contain the time for an evacuation and the limits on cold servers', () => {
    const timing = { ...GOOD.timing, evacuation: 5 };
    const settings = checkRouterSettings({ ...GOOD, timing, coldStart: { factor: 1.5, slack: 8 } }, 'test');
    expect(settings.isOk() && settings.value.timing.evacuation).toEqual(5_000);
    expect(settings.isOk() && settings.value.coldStart).toEqual({ factor: 1.5, slack: 8 });
    const bad = checkRouterSettings({ ...GOOD, coldStart: { factor: -1, slack: 'some' } }, 'test');
    expect(bad.isErr() && bad.error.faults.length).toEqual(2);
  });

  // A daemon with such an address would end with an exception while it starts.
  it('are rejected if an address has a port that is none, or more than four octets', () => {
    const listen = {
      http: '10.0.0.1:65536',
      readiness: '10.0.0.256:81',
      admin: '10.0.0.1:0',
      peers: '10.0.0.1.1:83',
      proxy: '10.0.0.1:00084',
    };
    const bad = { ...GOOD, listen, store: { ...GOOD.store, address: '300.0.0.1:80' } };
    const settings = checkRouterSettings(bad, 'test');
    expect(settings.isErr() && settings.error.faults).toEqual([
      'listen.http: found "10.0.0.1:65536"; allowed: a port from 1 to 65535 without leading zeros',
      'listen.readiness: found "10.0.0.256:81"; allowed: an ip number of four octets without leading zeros',
      'listen.admin: found "10.0.0.1:0"; allowed: a port from 1 to 65535 without leading zeros',
      'listen.peers: found "10.0.0.1.1:83"; allowed: an ip number of four octets without leading zeros',
      'listen.proxy: found "10.0.0.1:00084"; allowed: a port from 1 to 65535 without leading zeros',
      'store.address: found "300.0.0.1:80"; allowed: an ip number of four octets without leading zeros',
    ]);
  });

  it('are rejected with all errors at once, each with its path, the value found and the values allowed', () => {
    const bad = { ...GOOD, zone: 7, listen: { ...GOOD.listen, http: 'nowhere' }, retries: { ratio: 0.2 } };
    const settings = checkRouterSettings(bad, 'test');
    const faults = settings.isErr() ? settings.error.faults : [];
    expect(faults.length).toEqual(3);
    expect(faults.some((fault) => fault.startsWith('zone: found 7'))).toEqual(true);
    expect(faults.some((fault) => fault.startsWith('listen.http: found "nowhere"; allowed:'))).toEqual(true);
    expect(faults.some((fault) => fault.startsWith('retries.extra: found nothing'))).toEqual(true);
  });
});
