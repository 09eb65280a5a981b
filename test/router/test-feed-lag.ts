import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { Effect } from '../../src/router/effects.js';
import { reduce } from '../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../src/router/router-state.js';
import { BOUNDS } from './support/bounds.js';

let state: RouterState;

function heartbeat(now: number, configurationVersion: number, serversRevision: number): Effect[] {
  const message = {
    term: 1,
    confirmationAge: 10,
    leaderRevision: 0,
    newsAge: 10,
    leader: 'other',
    leaderLife: 7,
    leaderAddress: '10.0.0.8:1',
    heardAge: 0,
    watchers: [],
    daemons: 3,
    configurationVersion,
    serversRevision,
    evacuations: null,
  };
  const event = { kind: 'peerMessage', link: 0, message: { kind: 'heartbeat', ...message } } as const;
  return reduce(state, now, event).filter((effect) => effect.kind === 'refreshFeed');
}

describe('a daemon that knows less than others', () => {
  beforeEach(() => {
    state = createRouterState({ daemon: 'd', zone: 'z', peerAddress: '10.0.0.9:1', life: 1 }, BOUNDS, 1);
  });

  // Found by a played day: every change of a server made half of the daemons list everything anew.
  it('waits for its own watch before it reads anew', () => {
    expect(heartbeat(1_000, 1, 7)).toEqual([]);
    state.newestServerRevision = 7;
    expect(heartbeat(1_300, 0, 7)).toEqual([]);
    expect(state.feedLags.servers.since).toEqual(null);
  });

  it('reads only the feed that is behind, and once for each news', () => {
    heartbeat(1_000, 0, 7);
    expect(heartbeat(1_700, 0, 7)).toEqual([{ kind: 'refreshFeed', feed: 'servers' }]);
    expect(heartbeat(2_500, 0, 7)).toEqual([]);
    expect(heartbeat(2_600, 0, 8)).toEqual([{ kind: 'refreshFeed', feed: 'servers' }]);
  });
});
