import { expect } from 'earl';
import { describe, it } from 'node:test';
import { FLEET_WINDOW, LoadWindow } from '../../../src/router/load-view/load-window.js';
import { RouterContext } from '../../../src/router/router-context.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { chooseStoreWatchers } from '../../../src/router/tree/heartbeats.js';
import type { Child } from '../../../src/router/tree/tree-state.js';
import { BOUNDS } from '../support/bounds.js';
import { toAddress } from '../../support/addresses.js';

const NOW = 60_000;

function child(daemon: string, zone: string, lastReportAt: number): Child {
  const address = toAddress('10.0.0.1:70');
  const sent = {
    reportSentAt: 0,
    serversSentAt: 0,
    configurationSentAt: 0,
    reach: null,
    proxies: [],
    needsProxies: false,
    pathlessDaemons: 0,
    loadDaemons: 1,
    loadWindow: new LoadWindow(FLEET_WINDOW),
  };
  return { daemon, life: 1, address, zone, lastReportAt, daemons: 1, ...sent };
}

function leaderWith(children: readonly Child[]): RouterState {
  const identity = { daemon: 'l', zone: 'z0', peerAddress: toAddress('10.0.0.9:1'), life: 1 };
  const state = createRouterState(identity, BOUNDS, 1);
  children.forEach((each, link) => state.tree.children.set(link, each));
  return state;
}

function watchers(children: readonly Child[]): string[] {
  return chooseStoreWatchers(new RouterContext(leaderWith(children), NOW));
}

describe('the choice of store watchers', () => {
  it('takes the children connected longest, from different zones', () => {
    const children = [child('a', 'z1', NOW), child('b', 'z1', NOW), child('c', 'z2', NOW)];
    expect(watchers(children)).toEqual(['a', 'c']);
  });

  // If a child's machine loses power or its connection becomes unresponsive, nothing closes the connection. Guards against a leader
  // whose two watchers are such children and can report nothing to it.
  it('skips children that no longer report', () => {
    const children = [child('a', 'z1', NOW - 10_000), child('b', 'z2', NOW - 2_500), child('c', 'z2', NOW)];
    expect(watchers(children)).toEqual(['c']);
  });
});
