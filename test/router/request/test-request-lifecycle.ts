import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { Effect } from '../../../src/router/effects.js';
import type { AttemptResult, RouterEvent } from '../../../src/router/events.js';
import type { Configuration } from '../../../src/router/model/configuration.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import { OwnershipView } from '../../../src/router/ownership/ownership-view.js';
import { reduce } from '../../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { BOUNDS_WITH_RETRIES } from '../support/bounds.js';

const CONFIGURATION: Configuration = {
  version: 1,
  routes: [
    {
      name: 'read',
      host: 'h.example',
      pathPrefix: '/read/',
      repeatable: true,
      timeout: 1_000,
      latencyObjective: 400,
      priority: 1,
      maxAttempts: 2,
      targets: [{ service: 'logs', weight: 1 }],
    },
    {
      name: 'book',
      host: 'h.example',
      pathPrefix: '/book/',
      repeatable: false,
      timeout: 1_000,
      latencyObjective: 400,
      priority: 1,
      maxAttempts: 2,
      targets: [{ service: 'logs', weight: 1 }],
    },
    {
      name: 'rack',
      host: 'h.example',
      pathPrefix: '/rack/',
      repeatable: true,
      timeout: 1_000,
      latencyObjective: 400,
      priority: 1,
      maxAttempts: 2,
      targets: [{ service: 'racks', weight: 1 }],
    },
  ],
  services: new Map([
    ['logs', { name: 'logs', keyed: false, connectionLimit: 10, healthPath: '/health' }],
    ['racks', { name: 'racks', keyed: true, connectionLimit: 50, healthPath: '/health' }],
  ]),
  limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 },
};

function server(id: string): ServerDescription {
  const address = `10.0.0.${id.slice(1)}:80`;
  return {
    id,
    service: 'logs',
    address,
    zone: 'z',
    slots: 2,
    draining: false,
    warmupLeft: 0,
    listedAt: 1,
    revision: 1,
  };
}

let state: RouterState;
let now: number;
let effects: Effect[];

function event(input: RouterEvent): void {
  effects.push(...reduce(state, now, input));
}

function ticksUntil(end: number): void {
  for (; now < end; now += 20) {
    event({ kind: 'tick' });
  }
}

function arrive(
  requestId: number,
  target: string,
  callerPatience: number | null = 900,
  key: number | null = null,
): void {
  const attemptId = `a-${requestId}`;
  event({
    kind: 'requestArrived',
    requestId,
    attemptId,
    method: 'GET',
    host: 'h.example',
    target,
    callerPatience,
    key,
  });
}

function ended(requestId: number, attempt: number, result: AttemptResult): void {
  event({ kind: 'attemptEnded', requestId, attempt, result });
}

function only<Kind extends Effect['kind']>(kind: Kind): Extract<Effect, { kind: Kind }>[] {
  return effects.filter((effect): effect is Extract<Effect, { kind: Kind }> => effect.kind === kind);
}

const LOST: AttemptResult = { kind: 'lost', reason: 'reset', answerBegun: false };
const REJECTED: AttemptResult = { kind: 'rejected', status: 503, misdirected: false, load: null };

describe('the way of a request', () => {
  beforeEach(() => {
    state = createRouterState(
      { daemon: 'd', zone: 'z', peerAddress: '10.0.0.9:1', life: 1 },
      BOUNDS_WITH_RETRIES,
      1,
    );
    now = 1_000;
    effects = [];
    event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    event({ kind: 'serversListed', servers: [server('s1'), server('s2'), server('s3')], revision: 5 });
    effects = [];
  });

  it('refuses with a time to come back before a configuration is known', () => {
    state.configuration = null;
    arrive(1, '/read/1');
    ticksUntil(1_140);
    expect(only('answer')[0]?.status).toEqual(503);
    expect((only('answer')[0]?.retryAfter ?? 0) > 0).toEqual(true);
  });

  it('holds a request that comes a moment before the first configuration', () => {
    state.configuration = null;
    arrive(1, '/read/1');
    ticksUntil(1_080);
    expect(only('answer')).toEqual([]);
    event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    expect(only('forward').length).toEqual(1);
  });

  it('forgets a held request whose caller leaves before the first configuration', () => {
    state.configuration = null;
    arrive(1, '/read/1');
    event({ kind: 'callerLeft', requestId: 1 });
    event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    expect(only('forward')).toEqual([]);
  });

  it('says 404 only with a configuration in force', () => {
    arrive(1, '/nothing/1');
    expect(only('answer')[0]?.status).toEqual(404);
  });

  it('sends a repeatable request to another server when an attempt is lost', () => {
    arrive(1, '/read/1');
    ended(1, 1, LOST);
    const sent = only('forward').map((effect) => effect.server);
    expect(sent.length).toEqual(2);
    expect(new Set(sent).size).toEqual(2);
  });

  it('never sends a request again that may have run and may not be repeated', () => {
    arrive(1, '/book/1');
    ended(1, 1, LOST);
    expect(only('forward').length).toEqual(1);
    expect(only('answer').map(({ status, retryAfter }) => [status, retryAfter])).toEqual([[502, null]]);
  });

  it('sends it again when a server proves that it has not run', () => {
    arrive(1, '/book/1');
    ended(1, 1, REJECTED);
    expect(only('forward').length).toEqual(2);
  });

  it('promises that a request has not run only while each attempt was rejected', () => {
    arrive(1, '/book/1');
    ended(1, 1, REJECTED);
    ended(1, 2, REJECTED);
    expect(only('answer')[0]?.status).toEqual(503);
    expect((only('answer')[0]?.retryAfter ?? 0) > 0).toEqual(true);
  });

  // Found by a played day of 87 daemons: servers reset the connections that were more than they take.
  it('keeps to its share of the connections that a server takes', () => {
    event({ kind: 'serversListed', servers: [{ ...server('s1'), slots: 8 }], revision: 6 });
    state.daemons = 3;
    for (let requestId = 1; requestId <= 6; requestId += 1) {
      arrive(requestId, '/read/1');
    }
    // A server of this service takes 10 connections: 9 are used, 3 by each daemon.
    expect(only('forward').length).toEqual(3);
  });

  it('goes to no more servers than the route allows', () => {
    arrive(1, '/read/1');
    ended(1, 1, LOST);
    ended(1, 2, LOST);
    expect(only('forward').length).toEqual(2);
    expect(only('answer')[0]?.status).toEqual(502);
  });

  it('ends at the deadline of the route', () => {
    arrive(1, '/book/1', null);
    ticksUntil(2_100);
    expect(only('cancel').length).toEqual(1);
    expect(only('answer')[0]?.status).toEqual(504);
  });

  it('cancels at once when the caller leaves, and sends nothing more', () => {
    arrive(1, '/read/1');
    event({ kind: 'callerLeft', requestId: 1 });
    ended(1, 1, LOST);
    expect(only('cancel').length).toEqual(1);
    expect(only('forward').length).toEqual(1);
    expect(only('answer')).toEqual([]);
  });

  it('sends no work to a draining server', () => {
    for (const id of ['s1', 's2']) {
      event({
        kind: 'serversChanged',
        changes: [{ id, server: { ...server(id), draining: true } }],
        revision: 6,
      });
    }
    for (let requestId = 1; requestId <= 2; requestId += 1) {
      arrive(requestId, '/read/1');
    }
    expect(new Set(only('forward').map((effect) => effect.server))).toEqual(new Set(['s3']));
  });

  // A played day: requests of 200 ms were broken off because an older one at the same server took long.
  it('leaves a request at a server that is silent only for an older one', () => {
    for (let requestId = 1; requestId <= 3; requestId += 1) {
      arrive(requestId, '/read/1');
    }
    ticksUntil(1_300);
    const busy = only('forward')[0]?.server;
    for (let requestId = 10; requestId < 14; requestId += 1) {
      arrive(requestId, '/read/1');
    }
    const young = only('forward').find((effect) => effect.requestId >= 10 && effect.server === busy);
    ticksUntil(1_460);
    expect(only('cancel').some((effect) => effect.requestId === young?.requestId)).toEqual(false);
  });

  // Found by a played day with long requests: servers were taken for silent by a guess of 80 ms.
  it('judges a silent server by how long requests of its service take', () => {
    for (let requestId = 1; requestId <= 12; requestId += 1) {
      arrive(requestId, '/read/1', null);
      now += 300;
      ended(requestId, 1, { kind: 'answered', status: 200, load: null });
    }
    effects = [];
    arrive(50, '/read/1', null);
    ticksUntil(now + 700);
    expect(only('cancel')).toEqual([]);
  });

  // Found by a played day and a recorded one: the attempt was broken off, then its retry refused.
  it('leaves a request at a silent server when no retry is left in the budget', () => {
    arrive(1, '/read/1');
    const budget = state.budgets.get('logs');
    while (budget?.take() === true) {
      // Other requests spend what there is.
    }
    ticksUntil(1_800);
    expect(only('cancel')).toEqual([]);
    expect(only('answer')).toEqual([]);
  });

  // Found by a played day: a server that had become 12 times slower answered nobody in time, so nothing was learned of
  // it, and every caller in turn was sent there.
  it('learns from callers that leave that a server is slow, and tries it again later', () => {
    const sentTo = (requestId: number): string | undefined =>
      only('forward').find((effect) => effect.requestId === requestId)?.server;
    const answer = (requestId: number): void => {
      ended(requestId, 1, { kind: 'answered', status: 200, load: null });
    };
    let requestId = 1;
    const play = (rounds: number): number => {
      let atSlow = 0;
      for (let round = 0; round < rounds; round += 1, requestId += 1) {
        arrive(requestId, '/book/1');
        atSlow += sentTo(requestId) === 's1' ? 1 : 0;
        now += sentTo(requestId) === 's1' ? 350 : 50;
        if (sentTo(requestId) === 's1') {
          event({ kind: 'callerLeft', requestId });
        } else {
          answer(requestId);
        }
      }
      return atSlow;
    };
    play(15);
    expect(play(60) <= 3).toEqual(true);
    now += 20_000;
    expect(play(30) >= 1).toEqual(true);
  });

  it('breaks nothing off during a planned stop', () => {
    arrive(1, '/read/1', null);
    event({ kind: 'stopping' });
    ticksUntil(1_900);
    expect(only('cancel')).toEqual([]);
  });

  // Found by a played day: the second attempt met the same full owner within 2 ms, and nothing was left to try.
  it('waits a moment before it sends a request to an owner again that has reset it', () => {
    const owner: ServerDescription = { ...server('s9'), service: 'racks' };
    event({ kind: 'serversChanged', changes: [{ id: 's9', server: owner }], revision: 6 });
    const unit = { service: 'racks', from: 0, to: 65_535, owner: 's9', fence: 3, releasing: null };
    state.view = new OwnershipView(1, 1, [{ ...unit, granted: true }]);
    arrive(1, '/rack/1', 900, 7);
    ended(1, 1, LOST);
    expect(only('forward').length).toEqual(1);
    ticksUntil(now + 200);
    expect(only('forward').length).toEqual(2);
  });

  // Found by a played day: after the loss of all daemons each request met owners without leases, and spent the retry budget.
  it('sends no further request to an owner that has just turned one away, until a moment later', () => {
    const owner: ServerDescription = { ...server('s9'), service: 'racks' };
    event({ kind: 'serversChanged', changes: [{ id: 's9', server: owner }], revision: 6 });
    const unit = { service: 'racks', from: 0, to: 65_535, owner: 's9', fence: 3, releasing: null };
    state.view = new OwnershipView(1, 1, [{ ...unit, granted: true }]);
    arrive(1, '/rack/1', 900, 7);
    ended(1, 1, { kind: 'rejected', status: 421, misdirected: true, load: null });
    arrive(2, '/rack/1', 900, 8);
    expect(only('forward').length).toEqual(1);
    ticksUntil(now + 260);
    arrive(3, '/rack/1', 900, 9);
    expect(only('forward').some(({ requestId }) => requestId === 3)).toEqual(true);
  });
});
