import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { Effect } from '../../src/router/effects.js';
import { reduce } from '../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../src/router/router-state.js';
import { BOUNDS } from './support/bounds.js';
import { toAddress } from '../support/addresses.js';

let state: RouterState;

function refreshesAfterHeartbeat(
  now: number,
  configurationVersion: number,
  serversRevision: number,
): Effect[] {
  const message = {
    term: 1,
    confirmationAge: 10,
    leaderRevision: 0,
    newsAge: 10,
    evacuationsAge: 10,
    reportSentAt: 0,
    reportHeld: 0,
    serversPosition: 0,
    configurationRevision: 0,
    leader: 'other',
    leaderLife: 7,
    leaderAddress: toAddress('10.0.0.8:1'),
    heardAge: 0,
    watchers: [],
    proxies: [],
    pathlessDaemons: 0,
    serviceLoads: [],
    daemons: 3,
    configurationVersion,
    serversRevision,
    evacuations: null,
  };
  const event = { kind: 'peerMessage', link: 0, message: { kind: 'heartbeat', ...message } } as const;
  return reduce(state, now, event).filter((effect) => effect.kind === 'refreshFeed');
}

describe('a daemon whose feeds are behind those of other daemons', () => {
  beforeEach(() => {
    state = createRouterState(
      { daemon: 'd', zone: 'z', peerAddress: toAddress('10.0.0.9:1'), life: 1 },
      BOUNDS,
      1,
    );
  });

  // Without the wait, each change of a server makes daemons whose watch is a little later list all servers again.
  it('waits for its own watch before it lists the feed again', () => {
    expect(refreshesAfterHeartbeat(1_000, 1, 7)).toEqual([]);
    state.newestServerRevision = 7;
    expect(refreshesAfterHeartbeat(1_300, 0, 7)).toEqual([]);
    expect(state.feedLags.servers.behindSince).toEqual(null);
  });

  it('lists only the feed that is behind again, and once for each newer revision', () => {
    refreshesAfterHeartbeat(1_000, 0, 7);
    expect(refreshesAfterHeartbeat(1_700, 0, 7)).toEqual([{ kind: 'refreshFeed', feed: 'servers' }]);
    expect(refreshesAfterHeartbeat(2_500, 0, 7)).toEqual([]);
    expect(refreshesAfterHeartbeat(2_600, 0, 8)).toEqual([{ kind: 'refreshFeed', feed: 'servers' }]);
  });
});
