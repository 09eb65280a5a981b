import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import type { Heartbeat, PeerMessage, Report } from '../../../src/router/peers/messages.js';
import { reduce } from '../../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { CONFIGURATION } from '../support/router-simulation.js';
import { BOUNDS } from '../support/bounds.js';
import { toAddress } from '../../support/addresses.js';

const RELAY = toAddress('10.0.0.7:70');
const LEADER = toAddress('10.0.0.8:70');
const PARENT_LINK = -1;

const identity = {
  daemon: 'd',
  zone: 'z',
  peerAddress: toAddress('10.0.0.9:1'),
  life: 1,
  isFirstStart: true,
};

const CHILD_REPORT: Report = {
  kind: 'report',
  daemon: 'child',
  life: 2,
  address: toAddress('10.0.0.3:70'),
  zone: 'z',
  configurationVersion: 0,
  serversRevision: 5,
  serversPosition: 15,
  ownershipSequence: 0,
  viewTerm: 0,
  viewSequence: 0,
  daemons: 1,
  started: [],
  evacuations: null,
  sentAt: 0,
  overloaded: false,
  failedRelay: '',
  samples: [],
  times: [],
  rests: [],
  reach: null,
  proxies: [],
  needsProxies: false,
  pathlessDaemons: 0,
  serviceLoads: [],
  loadDaemons: 1,
  demandRose: false,
};

let state: RouterState;
let now: number;
let effects: Effect[];

function handleEvent(input: RouterEvent): void {
  effects.push(...reduce(state, now, input));
}

function receiveMessage(message: PeerMessage, link = PARENT_LINK): void {
  handleEvent({ kind: 'peerMessage', link, message });
}

function advance(milliseconds: number, each: () => void = () => undefined): void {
  for (const end = now + milliseconds; now < end; now += 20) {
    each();
    handleEvent({ kind: 'tick' });
  }
}

function sentMessages<Kind extends PeerMessage['kind']>(kind: Kind): Extract<PeerMessage, { kind: Kind }>[] {
  return effects
    .filter((effect) => effect.kind === 'sendToParent' || effect.kind === 'sendToChildren')
    .map(({ message }) => message)
    .filter((message): message is Extract<PeerMessage, { kind: Kind }> => message.kind === kind);
}

function server(id: string, revision: number): ServerDescription {
  const place = { service: 'racks', address: toAddress('10.0.1.1:80'), zone: 'z', slots: 2 };
  return { id, ...place, draining: false, warmupLeft: 0, listedAt: 1, revision };
}

function heartbeat(change: Partial<Heartbeat> = {}): Heartbeat {
  const leader = { term: 3, leader: 'l', leaderLife: 7, leaderAddress: LEADER };
  const age = { heardAge: 0, confirmationAge: 10, leaderRevision: 4, newsAge: 10, daemons: 20 };
  const versions = {
    watchers: [],
    proxies: [],
    pathlessDaemons: 0,
    serviceLoads: [],
    configurationVersion: 1,
    serversRevision: 5,
    serversPosition: 10,
  };
  const echo = { reportSentAt: now, reportHeld: 0, evacuationsAge: 10, evacuations: null };
  const revisions = { configurationRevision: 5 };
  return { kind: 'heartbeat', ...leader, ...age, ...versions, ...echo, ...revisions, ...change };
}

function receiveAllData(): void {
  receiveMessage(heartbeat());
  receiveMessage({ kind: 'configurationNews', revision: 5, configuration: CONFIGURATION });
  const changes = ['s1', 's2'].map((id) => ({ id, server: server(id, 5) }));
  receiveMessage({ kind: 'serverNews', base: 0, completeFrom: 0, revision: 10, changes });
}

function askedFeeds(): string[] {
  return effects.flatMap((effect) =>
    effect.kind === 'confirmFeed' && effect.feed !== 'evacuations' ? [effect.feed] : [],
  );
}

function followsStore(): boolean {
  return state.followsStore;
}

describe('updates from other daemons', () => {
  beforeEach(() => {
    state = createRouterState(identity, BOUNDS, 1);
    now = 1_000;
    effects = [];
    handleEvent({ kind: 'tick' });
    const value = { term: 3, daemon: 'l', life: 7, address: LEADER, beat: 1, settled: true, resigned: false };
    const outcome = { kind: 'found', revision: 3, value } as const;
    handleEvent({ kind: 'objectRead', object: 'leader', sentAt: now, outcome });
  });

  it('bring a daemon all data, so that it never watches the store', () => {
    receiveAllData();
    advance(5_000, () => receiveMessage(heartbeat()));
    expect([...state.servers.keys()]).toEqual(['s1', 's2']);
    expect(state.configuration?.version).toEqual(1);
    expect(effects.some(({ kind }) => kind === 'followStore')).toEqual(false);
  });

  it('change nothing when earlier updates were missed, and the missed ones are requested', () => {
    receiveAllData();
    advance(500);
    effects = [];
    receiveMessage({
      kind: 'serverNews',
      base: 20,
      completeFrom: 20,
      revision: 30,
      changes: [{ id: 's1', server: null }],
    });
    advance(200);
    expect(state.servers.has('s1')).toEqual(true);
    expect(sentMessages('report')[0]?.serversPosition).toEqual(10);
  });

  it('change nothing when they are old', () => {
    receiveAllData();
    receiveMessage({
      kind: 'serverNews',
      base: 10,
      completeFrom: 10,
      revision: 12,
      changes: [{ id: 's3', server: server('s3', 11) }],
    });
    receiveMessage({ kind: 'serverNews', base: 0, completeFrom: 0, revision: 9, changes: [] });
    receiveMessage({
      kind: 'serverNews',
      base: 5,
      completeFrom: 5,
      revision: 11,
      changes: [{ id: 's3', server: null }],
    });
    receiveMessage(heartbeat({ term: 2, leaderAddress: toAddress('10.9.9.9:1') }));
    receiveMessage({
      kind: 'leaderNotice',
      term: 3,
      leader: 'x',
      leaderLife: 1,
      leaderAddress: toAddress('10.9.9.9:1'),
    });
    expect(state.servers.size).toEqual(3);
    expect(state.election.leader?.address).toEqual(LEADER);
    expect(state.tree.parent).toEqual(LEADER);
  });

  it('are forwarded to the children, and to the parent only when they did not come from it', () => {
    receiveAllData();
    effects = [];
    receiveMessage({
      kind: 'serverNews',
      base: 10,
      completeFrom: 10,
      revision: 12,
      changes: [{ id: 's1', server: null }],
    });
    expect(effects.filter(({ kind }) => kind === 'sendToParent')).toEqual([]);
    expect(sentMessages('serverNews').length).toEqual(1);
    effects = [];
    handleEvent({ kind: 'serversChanged', changes: [{ id: 's2', server: null }], revision: 15 });
    expect(effects.filter(({ kind }) => kind === 'sendToParent').length).toEqual(1);
  });

  it('bring a child only those that it missed', () => {
    receiveAllData();
    handleEvent({ kind: 'serversChanged', changes: [{ id: 's1', server: null }], revision: 15 });
    handleEvent({
      kind: 'serversChanged',
      changes: [{ id: 's3', server: server('s3', 17) }],
      revision: 17,
    });
    effects = [];
    receiveMessage({ ...CHILD_REPORT, sentAt: now }, 1);
    expect(
      sentMessages('serverNews').map(({ base, changes }) => [base, changes.map(({ id }) => id)]),
    ).toEqual([[15, ['s3']]]);
    expect(sentMessages('configurationNews').length).toEqual(1);
  });

  it('make a daemon watch the store itself when they are missing', () => {
    advance(600);
    expect(followsStore()).toEqual(false);
    advance(200);
    expect(followsStore()).toEqual(true);
    receiveAllData();
    advance(100);
    expect(followsStore()).toEqual(false);
    advance(800);
    expect(followsStore()).toEqual(true);
  });

  it('are not enough from a leader that the store has not answered for 1.2 s, where 2 s are allowed', () => {
    receiveAllData();
    const confirmedAt = now;
    advance(1_000, () => receiveMessage(heartbeat({ newsAge: now - confirmedAt })));
    expect(askedFeeds()).toEqual([]);
    advance(200, () => receiveMessage(heartbeat({ newsAge: now - confirmedAt })));
    expect(askedFeeds()).toEqual(['configuration', 'servers']);
    advance(1_000, () => receiveMessage(heartbeat({ newsAge: 50 })));
    expect(askedFeeds().length).toEqual(2);
  });

  it('are not enough from a leader whose heartbeats take 1.2 s', () => {
    receiveAllData();
    const heartbeats: Heartbeat[] = [];
    const receiveDelayed = (): void => {
      heartbeats.push(heartbeat());
      const delayed = heartbeats.length > 60 ? heartbeats.shift() : undefined;
      if (delayed !== undefined) {
        receiveMessage(delayed);
      }
    };
    advance(1_300, receiveDelayed);
    effects = [];
    advance(2_000, receiveDelayed);
    expect(state.tree.parent).toEqual(LEADER);
    expect(askedFeeds().length > 0).toEqual(true);
  });

  it('leave no server behind that was added and removed unseen by the parent', () => {
    receiveAllData();
    const added = { id: 's3', server: server('s3', 12) };
    handleEvent({ kind: 'serversChanged', changes: [added], revision: 12 });
    const update = { kind: 'serverNews', base: 10, completeFrom: 15, revision: 15, changes: [] } as const;
    receiveMessage({ ...update, changes: [] });
    expect(state.serversRevision).toEqual(12);
    const listed = ['s1', 's2'].map((id) => ({ id, server: server(id, 5) }));
    receiveMessage({ kind: 'serverNews', base: 0, completeFrom: 15, revision: 15, changes: listed });
    expect([...state.servers.keys()]).toEqual(['s1', 's2']);
    expect(state.serversRevision).toEqual(15);
  });

  it('bring a daemon to the revision of a list without differences', () => {
    receiveAllData();
    const update = { kind: 'serverNews', base: 10, completeFrom: 20, revision: 20, changes: [] } as const;
    receiveMessage({ ...update, changes: [] });
    expect(state.serversRevision).toEqual(20);
  });

  it('keep a server that was removed and is back, and drop one that was added and removed', () => {
    receiveAllData();
    const back = { id: 's1', server: server('s1', 13) };
    handleEvent({ kind: 'serversChanged', changes: [back], revision: 14 });
    const changes = [
      { id: 's1', server: null },
      back,
      { id: 's9', server: server('s9', 12) },
      { id: 's9', server: null },
    ];
    handleEvent({ kind: 'serversChanged', changes, revision: 15 });
    expect([...state.servers.keys()].sort()).toEqual(['s1', 's2']);
    const [, last] = sentMessages('serverNews').filter(({ revision }) => revision === 15);
    expect(last?.changes).toEqual([{ id: 's9', server: null }]);
  });

  it('include the removal of a server that this daemon never knew, for those that know it', () => {
    receiveAllData();
    effects = [];
    handleEvent({ kind: 'serversChanged', changes: [{ id: 's9', server: null }], revision: 15 });
    const [update] = sentMessages('serverNews');
    expect(update?.base).toEqual(10);
    expect(update?.completeFrom).toEqual(10);
    expect(update?.changes).toEqual([{ id: 's9', server: null }]);
  });

  it('bring a child a full list when only the difference between two lists is known', () => {
    receiveAllData();
    handleEvent({ kind: 'serversListed', servers: [server('s1', 5), server('s4', 14)], revision: 15 });
    effects = [];
    receiveMessage({ ...CHILD_REPORT, serversPosition: 12, sentAt: now }, 1);
    expect(sentMessages('serverNews').map(({ base }) => base)).toEqual([0]);
  });

  it('are enough when only the confirmation of the leadership is late', () => {
    receiveAllData();
    advance(500, () => receiveMessage(heartbeat({ confirmationAge: 2_900 })));
    expect(followsStore()).toEqual(false);
  });

  it('are logged as old, once, when the store has answered no daemon for too long', () => {
    receiveAllData();
    const confirmedAt = now;
    advance(2_500, () => receiveMessage(heartbeat({ newsAge: now - confirmedAt })));
    advance(100, () => receiveMessage(heartbeat({ newsAge: 20 })));
    const lines = effects.flatMap((effect) => (effect.kind === 'log' ? [effect.event] : []));
    expect(lines.filter((line) => line.startsWith('news_'))).toEqual(['news_old', 'news_fresh']);
  });

  it('are read from the store by the watchers that the leader names', () => {
    receiveAllData();
    receiveMessage(heartbeat({ watchers: ['d'] }));
    advance(40);
    expect(followsStore()).toEqual(true);
  });

  it('come from the relay that the leader names, and from the leader again when the relay is unresponsive', () => {
    receiveAllData();
    receiveMessage({ kind: 'redirect', address: RELAY });
    expect(state.tree.parent).toEqual(RELAY);
    advance(600, () => receiveMessage(heartbeat({ heardAge: 200 })));
    expect(state.tree.parent).toEqual(RELAY);
    advance(800);
    expect(state.tree.parent).toEqual(LEADER);
    expect(state.tree.failedRelay).toEqual(RELAY);
  });

  it('never come from the daemon itself: a redirect to its own address is ignored', () => {
    receiveAllData();
    receiveMessage({ kind: 'redirect', address: toAddress('10.0.0.9:1') });
    expect(state.tree.parent).toEqual(LEADER);
  });

  // After the loss of all daemons, each would otherwise wait 0.7 s for a parent that has no data either.
  it('are not waited for by a restarted daemon, because callers are waiting', () => {
    state = createRouterState({ ...identity, isFirstStart: false }, BOUNDS, 1);
    advance(40);
    expect(followsStore()).toEqual(true);
    expect(effects.filter((effect) => effect.kind === 'readObject').map(({ object }) => object)).toInclude(
      'ownership',
    );
    receiveAllData();
    advance(100, () => receiveMessage(heartbeat()));
    expect(followsStore()).toEqual(false);
  });
});
