import { expect } from 'earl';
import { describe, it } from 'node:test';
import { FLEET_WINDOW, LoadWindow } from '../../../src/router/load-view/load-window.js';
import { chooseRelay } from '../../../src/router/tree/relay-choice.js';
import type { Child } from '../../../src/router/tree/tree-state.js';
import { toAddress } from '../../support/addresses.js';

function child(index: number, zone: string, daemons: number): Child {
  return {
    daemon: `d${index}`,
    life: index,
    address: toAddress(`10.0.0.${index}:70`),
    zone,
    lastReportAt: 0,
    reportSentAt: 0,
    daemons,
    serversSentAt: 0,
    reach: null,
    proxies: [],
    needsProxies: false,
    pathlessDaemons: 0,
    loadDaemons: 1,
    loadWindow: new LoadWindow(FLEET_WINDOW),
    configurationSentAt: 0,
  };
}

const CHILDREN = Array.from({ length: 12 }, (_, index) => child(index, `z${index % 4}`, 1 + (index % 5)));

describe('the choice of a relay', () => {
  it('keeps the first daemons, and two of each zone, at the leader', () => {
    expect(chooseRelay(CHILDREN.slice(1), 'z0', '')).toEqual(undefined);
    expect(chooseRelay(CHILDREN, 'z9', '')).toEqual(undefined);
  });

  it('takes the relay of the same zone that has the fewest daemons below it', () => {
    expect(chooseRelay(CHILDREN, 'z1', '')?.daemon).toEqual('d5');
  });

  it('skips a relay that the daemon could not reach', () => {
    expect(chooseRelay(CHILDREN, 'z1', toAddress('10.0.0.5:70'))?.daemon).toEqual('d1');
  });

  it('falls back to a relay in another zone, then to the leader, when relays are at capacity', () => {
    const full = CHILDREN.map((known) => (known.zone === 'z1' ? { ...known, daemons: 24 } : known));
    expect(chooseRelay(full, 'z1', '')?.daemon).toEqual('d0');
    const allFull = CHILDREN.map((known) => ({ ...known, daemons: 24 }));
    expect(chooseRelay(allFull, 'z1', '')).toEqual(undefined);
  });
});
