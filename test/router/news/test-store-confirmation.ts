import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { FeedName } from '../../../src/router/model/identifiers.js';
import { describeServer, PROMPT_RESPONSE, SingleDaemon } from '../support/single-daemon.js';

const KEY = 7;
const STORE_DATA: readonly FeedName[] = ['configuration', 'servers'];
const ALL_FEEDS: readonly FeedName[] = [...STORE_DATA, 'evacuations'];
const UNANSWERED = { call: 'watch', waited: 400, reason: 'no answer', isConclusive: true } as const;

let daemon: SingleDaemon;
let bound: number;

function askedFeeds(): FeedName[] {
  return daemon.effectsOfKind('confirmFeed').map(({ feed }) => feed);
}

function forwardedRequests(): number[] {
  return daemon.effectsOfKind('forward').map(({ requestId }) => requestId);
}

function confirm(feeds: readonly FeedName[]): void {
  for (const feed of feeds) {
    daemon.event({
      kind: 'feedAnswered',
      feed,
      sentAt: daemon.now,
      confirmedAt: daemon.now,
      ...PROMPT_RESPONSE,
    });
  }
}

function fail(feeds: readonly FeedName[], isConclusive = true): void {
  feeds.forEach((feed) => daemon.event({ kind: 'feedFailed', feed, ...UNANSWERED, isConclusive }));
}

describe('data that nobody confirms', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.tickUntil(daemon.now + 100);
    daemon.isDataConfirmed = false;
    daemon.effects = [];
    bound = daemon.state.bounds.drain;
  });

  it('is confirmed by the store before it is too old, from the known revisions', () => {
    daemon.tickUntil(daemon.now + 0.5 * bound);
    expect(askedFeeds()).toEqual([]);
    daemon.tickUntil(daemon.now + 0.15 * bound);
    expect(askedFeeds()).toEqual(['configuration', 'servers']);
    expect(daemon.effectsOfKind('confirmFeed').map(({ revision }) => revision)).toEqual([1, 6]);
    confirm(STORE_DATA);
    daemon.tickUntil(daemon.now + 0.5 * bound);
    expect(askedFeeds().length).toEqual(2);
  });

  it('lets no request be sent once it is too old, until the store confirms it', () => {
    daemon.tickUntil(daemon.now + 0.85 * bound);
    daemon.receiveRequest(1, '/read/1');
    daemon.receiveRequest(2, '/rack/1', 900, KEY);
    daemon.tickUntil(daemon.now + 40);
    expect(forwardedRequests()).toEqual([]);
    confirm(STORE_DATA);
    daemon.tickUntil(daemon.now + 40);
    expect(forwardedRequests()).toEqual([1, 2]);
  });

  it('routes no request by a configuration that is too old, not even to refuse it for its route', () => {
    daemon.tickUntil(daemon.now + 0.85 * daemon.state.bounds.configuration);
    daemon.receiveRequest(1, '/unknown/1');
    expect(daemon.effectsOfKind('answer')).toEqual([]);
    confirm(STORE_DATA);
    daemon.tickUntil(daemon.now + 40);
    expect(daemon.effectsOfKind('answer').map(({ status }) => status)).toEqual([404]);
  });

  // After an outage of the store, callers were told that the newest route did not exist, and do not return after a 404.
  it('shows no caller that a route does not exist while the store does not answer', () => {
    daemon.tickUntil(daemon.now + 0.85 * daemon.state.bounds.configuration);
    fail(STORE_DATA);
    daemon.receiveRequest(1, '/unknown/1');
    daemon.receiveRequest(2, '/read/1');
    const refusals = (): (readonly [number, boolean])[] =>
      daemon.effectsOfKind('answer').map(({ status, retryAfter }) => [status, retryAfter !== null]);
    expect(refusals()).toEqual([[503, true]]);
    expect(forwardedRequests()).toEqual([2]);
    confirm(STORE_DATA);
    daemon.receiveRequest(3, '/unknown/1');
    expect(refusals()).toEqual([
      [503, true],
      [404, false],
    ]);
  });

  it('is used while the store does not answer', () => {
    daemon.tickUntil(daemon.now + 0.7 * bound);
    fail(ALL_FEEDS);
    for (let request = 1; request <= 5; request += 1) {
      daemon.tickUntil(daemon.now + 1_000);
      fail(ALL_FEEDS);
      daemon.receiveRequest(request, '/read/1');
    }
    expect(forwardedRequests()).toEqual([1, 2, 3, 4, 5]);
  });

  it('is not used after a failure long before, nor after one that is not conclusive', () => {
    fail(STORE_DATA);
    daemon.tickUntil(daemon.now + 2 * bound);
    daemon.receiveRequest(1, '/read/1');
    expect(forwardedRequests()).toEqual([]);
    confirm(ALL_FEEDS);
    daemon.tickUntil(daemon.now + 40);
    daemon.tickUntil(daemon.now + 0.85 * bound);
    expect(forwardedRequests()).toEqual([1]);
    fail(STORE_DATA, false);
    daemon.receiveRequest(2, '/read/1');
    expect(forwardedRequests()).toEqual([1]);
    fail(STORE_DATA, false);
    daemon.tickUntil(daemon.now + 40);
    expect(forwardedRequests()).toEqual([1, 2]);
  });

  it('is asked for less often while the store does not answer', () => {
    daemon.tickUntil(daemon.now + 0.6 * bound);
    fail(STORE_DATA);
    daemon.effects = [];
    daemon.tickUntil(daemon.now + 600);
    expect(askedFeeds()).toEqual(['configuration', 'servers']);
    fail(STORE_DATA);
    daemon.effects = [];
    daemon.tickUntil(daemon.now + 3_100);
    expect(askedFeeds().filter((feed) => feed === 'servers').length).toEqual(2);
  });

  it('dates the draining of a server from its last confirmation', () => {
    const confirmedAt = daemon.now - 20;
    daemon.tickUntil(daemon.now + 600);
    const draining = { ...describeServer('s4'), service: 'racks', draining: true, revision: 9 };
    const changes = [{ id: 's4', server: draining }];
    daemon.event({ kind: 'serversChanged', changes, revision: 9 });
    expect(daemon.state.servers.get('s4')?.drainingSince).toEqual(confirmedAt);
    confirm(STORE_DATA);
    daemon.receiveRequest(1, '/rack/1', 900, KEY);
    expect(forwardedRequests()).toEqual([1]);
    daemon.tickUntil(confirmedAt + 0.8 * bound + 20);
    daemon.receiveRequest(2, '/rack/1', 900, KEY);
    daemon.tickUntil(daemon.now + 200);
    expect(forwardedRequests()).toEqual([1]);
  });

  it('may be used after a start although the evacuated zones are not confirmed yet', () => {
    daemon.event({ kind: 'resumed', length: 1_000, isCounted: true });
    daemon.receiveRequest(1, '/read/1');
    expect(forwardedRequests()).toEqual([]);
    daemon.tickUntil(daemon.now + 20);
    confirm(STORE_DATA);
    daemon.tickUntil(daemon.now + 40);
    expect(forwardedRequests()).toEqual([1]);
  });

  it('dates the evacuation of a zone from the last confirmation of all zones', () => {
    const confirmedAt = daemon.now - 20;
    daemon.tickUntil(daemon.now + 600);
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 7 });
    expect(daemon.state.evacuations.age('z', daemon.now)).toEqual(daemon.now - confirmedAt);
  });
});
