import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { AttemptResult } from '../../../src/router/events.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import { OwnershipView } from '../../../src/router/ownership/ownership-view.js';
import { CONFIGURATION, server, SingleDaemon } from '../support/single-daemon.js';

let daemon: SingleDaemon;

const LOST: AttemptResult = { kind: 'lost', reason: 'reset', answerBegun: false, connectionEnded: true };
const REJECTED: AttemptResult = { kind: 'rejected', status: 503, misdirected: false, load: null };

describe('the way of a request', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
  });

  it('refuses with a time to come back before a configuration is known', () => {
    daemon.state.configuration = null;
    daemon.arrive(1, '/read/1');
    daemon.ticksUntil(1_140);
    expect(daemon.only('answer')[0]?.status).toEqual(503);
    expect((daemon.only('answer')[0]?.retryAfter ?? 0) > 0).toEqual(true);
  });

  it('holds a request that comes a moment before the first configuration', () => {
    daemon.state.configuration = null;
    daemon.arrive(1, '/read/1');
    daemon.ticksUntil(1_080);
    expect(daemon.only('answer')).toEqual([]);
    daemon.event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    expect(daemon.only('forward').length).toEqual(1);
  });

  it('forgets a held request whose caller leaves before the first configuration', () => {
    daemon.state.configuration = null;
    daemon.arrive(1, '/read/1');
    daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: '', isTakenIn: true });
    daemon.event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    expect(daemon.only('forward')).toEqual([]);
  });

  it('says 404 only with a configuration in force', () => {
    daemon.arrive(1, '/nothing/1');
    expect(daemon.only('answer')[0]?.status).toEqual(404);
  });

  // Found by a played day: a full owner was asked again within 10 ms, shed the request again, and that was that.
  it('refuses a request at once that a full owner turned away, and says when its queue is shorter', () => {
    const unit = {
      service: 'racks',
      from: 0,
      to: 65_535,
      owner: 's9',
      fence: 3,
      granted: true,
      releasing: null,
    };
    daemon.state.view = new OwnershipView(1, 1, [unit]);
    const changes = [{ id: 's9', server: { ...server('s9'), service: 'racks' } }];
    daemon.event({ kind: 'serversChanged', changes, revision: 6 });
    daemon.arrive(1, '/rack/1', 900, 5);
    const load = { running: 2, waiting: 12, slots: 2, slowdown: null };
    daemon.ended(1, 1, { kind: 'rejected', status: 503, misdirected: false, load });
    expect(daemon.only('forward').length).toEqual(1);
    expect(daemon.only('answer').map(({ status, reason }) => [status, reason])).toEqual([
      [503, 'the owner s9 is full'],
    ]);
    expect(daemon.only('answer')[0]?.retryAfter).toEqual(200);
  });

  it('sends a request again to an owner that turned it away although it has room', () => {
    daemon.own('s9');
    daemon.arrive(1, '/rack/1', 900, 5);
    const load = { running: 1, waiting: 0, slots: 2, slowdown: null };
    daemon.ended(1, 1, { kind: 'rejected', status: 503, misdirected: false, load });
    expect(daemon.only('forward').length).toEqual(2);
  });

  it('counts load reports that cannot be read, and says so once', () => {
    for (const requestId of [1, 2, 3]) {
      daemon.arrive(requestId, '/read/1');
      daemon.ended(requestId, 1, { kind: 'answered', status: 200, load: { unreadable: '3;1;4' } });
    }
    expect(daemon.state.counters.malformed_load_reports).toEqual(3);
    const said = daemon.only('log').filter((line) => line.event === 'malformed_load_report');
    expect(said.map(({ fields }) => fields['found'])).toEqual(['3;1;4']);
  });

  it('sends a repeatable request to another server when an attempt is lost', () => {
    daemon.arrive(1, '/read/1');
    daemon.ended(1, 1, LOST);
    const sent = daemon.only('forward').map((effect) => effect.server);
    expect(sent.length).toEqual(2);
    expect(new Set(sent).size).toEqual(2);
  });

  it('never sends a request again that may have run and may not be repeated', () => {
    daemon.arrive(1, '/book/1');
    daemon.ended(1, 1, LOST);
    expect(daemon.only('forward').length).toEqual(1);
    expect(daemon.only('answer').map(({ status, retryAfter }) => [status, retryAfter])).toEqual([
      [502, null],
    ]);
  });

  it('sends it again when a server proves that it has not run', () => {
    daemon.arrive(1, '/book/1');
    daemon.ended(1, 1, REJECTED);
    expect(daemon.only('forward').length).toEqual(2);
  });

  it('promises that a request has not run only while each attempt was rejected', () => {
    daemon.arrive(1, '/book/1');
    daemon.ended(1, 1, REJECTED);
    daemon.ended(1, 2, REJECTED);
    expect(daemon.only('answer')[0]?.status).toEqual(503);
    expect((daemon.only('answer')[0]?.retryAfter ?? 0) > 0).toEqual(true);
  });

  // Found by a played day of 87 daemons: servers reset the connections that were more than they take.
  it('keeps to its share of the connections that a server takes', () => {
    daemon.event({ kind: 'serversListed', servers: [{ ...server('s1'), slots: 8 }], revision: 6 });
    daemon.state.daemons = 3;
    for (let requestId = 1; requestId <= 6; requestId += 1) {
      daemon.arrive(requestId, '/read/1');
    }
    // A server of this service takes 10 connections: 9 are used, 3 by each daemon.
    expect(daemon.only('forward').length).toEqual(3);
  });

  it('goes to no more servers than the route allows', () => {
    daemon.arrive(1, '/read/1');
    daemon.ended(1, 1, LOST);
    daemon.ended(1, 2, LOST);
    expect(daemon.only('forward').length).toEqual(2);
    expect(daemon.only('answer')[0]?.status).toEqual(502);
  });

  it('ends at the deadline of the route', () => {
    daemon.arrive(1, '/book/1', null);
    daemon.ticksUntil(2_100);
    expect(daemon.only('cancel').length).toEqual(1);
    expect(daemon.only('answer')[0]?.status).toEqual(504);
  });

  it('cancels at once when the caller leaves, and sends nothing more', () => {
    daemon.arrive(1, '/read/1');
    daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: '', isTakenIn: true });
    daemon.ended(1, 1, LOST);
    expect(daemon.only('cancel').length).toEqual(1);
    expect(daemon.only('forward').length).toEqual(1);
    expect(daemon.only('answer')).toEqual([]);
  });

  it('sends no work to a draining server', () => {
    for (const id of ['s1', 's2']) {
      daemon.event({
        kind: 'serversChanged',
        changes: [{ id, server: { ...server(id), draining: true } }],
        revision: 6,
      });
    }
    for (let requestId = 1; requestId <= 2; requestId += 1) {
      daemon.arrive(requestId, '/read/1');
    }
    expect(new Set(daemon.only('forward').map((effect) => effect.server))).toEqual(new Set(['s3']));
  });

  // A played day: requests of 200 ms were broken off because an older one at the same server took long.
  it('leaves a request at a server that is silent only for an older one', () => {
    for (let requestId = 1; requestId <= 3; requestId += 1) {
      daemon.arrive(requestId, '/read/1');
    }
    daemon.ticksUntil(1_300);
    const busy = daemon.only('forward')[0]?.server;
    for (let requestId = 10; requestId < 14; requestId += 1) {
      daemon.arrive(requestId, '/read/1');
    }
    const young = daemon.only('forward').find((effect) => effect.requestId >= 10 && effect.server === busy);
    daemon.ticksUntil(1_460);
    expect(daemon.only('cancel').some((effect) => effect.requestId === young?.requestId)).toEqual(false);
  });

  // Found by a played day with long requests: servers were taken for silent by a guess of 80 ms.
  it('judges a silent server by how long requests of its service take', () => {
    for (let requestId = 1; requestId <= 12; requestId += 1) {
      daemon.arrive(requestId, '/read/1', null);
      daemon.now += 300;
      daemon.ended(requestId, 1, { kind: 'answered', status: 200, load: null });
    }
    daemon.effects = [];
    daemon.arrive(50, '/read/1', null);
    daemon.ticksUntil(daemon.now + 700);
    expect(daemon.only('cancel')).toEqual([]);
  });

  // Found by a played day and a recorded one: the attempt was broken off, then its retry refused.
  it('leaves a request at a silent server when no retry is left in the budget', () => {
    daemon.arrive(1, '/read/1');
    const budget = daemon.state.budgets.get('logs');
    while (budget?.take() === true) {
      // Other requests spend what there is.
    }
    daemon.ticksUntil(1_800);
    expect(daemon.only('cancel')).toEqual([]);
    expect(daemon.only('answer')).toEqual([]);
  });

  // Found by a played day: a server that had become 12 times slower answered nobody in time, so nothing was learned of
  // it, and every caller in turn was sent there.
  it('learns from callers that leave that a server is slow, and tries it again later', () => {
    const sentTo = (requestId: number): string | undefined =>
      daemon.only('forward').find((effect) => effect.requestId === requestId)?.server;
    const answer = (requestId: number): void => {
      daemon.ended(requestId, 1, { kind: 'answered', status: 200, load: null });
    };
    let requestId = 1;
    const play = (rounds: number): number => {
      let atSlow = 0;
      for (let round = 0; round < rounds; round += 1, requestId += 1) {
        daemon.arrive(requestId, '/book/1');
        atSlow += sentTo(requestId) === 's1' ? 1 : 0;
        daemon.now += sentTo(requestId) === 's1' ? 350 : 50;
        if (sentTo(requestId) === 's1') {
          daemon.event({ kind: 'callerLeft', requestId, attemptId: '', isTakenIn: true });
        } else {
          answer(requestId);
        }
      }
      return atSlow;
    };
    play(15);
    expect(play(60) <= 3).toEqual(true);
    daemon.now += 20_000;
    expect(play(30) >= 1).toEqual(true);
  });

  it('breaks nothing off during a planned stop', () => {
    daemon.arrive(1, '/read/1', null);
    daemon.event({ kind: 'stopping' });
    daemon.ticksUntil(1_900);
    expect(daemon.only('cancel')).toEqual([]);
  });

  // Found by a played day: the second attempt met the same full owner within 2 ms, and nothing was left to try.
  it('waits a moment before it sends a request to an owner again that has reset it', () => {
    const owner: ServerDescription = { ...server('s9'), service: 'racks' };
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's9', server: owner }], revision: 6 });
    const unit = { service: 'racks', from: 0, to: 65_535, owner: 's9', fence: 3, releasing: null };
    daemon.state.view = new OwnershipView(1, 1, [{ ...unit, granted: true }]);
    daemon.arrive(1, '/rack/1', 900, 7);
    daemon.ended(1, 1, LOST);
    expect(daemon.only('forward').length).toEqual(1);
    daemon.ticksUntil(daemon.now + 200);
    expect(daemon.only('forward').length).toEqual(2);
  });

  // Found by a played day: after the loss of all daemons each request met owners without leases, and spent the retry budget.
  it('sends no further request to an owner that has just turned one away, until a moment later', () => {
    const owner: ServerDescription = { ...server('s9'), service: 'racks' };
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's9', server: owner }], revision: 6 });
    const unit = { service: 'racks', from: 0, to: 65_535, owner: 's9', fence: 3, releasing: null };
    daemon.state.view = new OwnershipView(1, 1, [{ ...unit, granted: true }]);
    daemon.arrive(1, '/rack/1', 900, 7);
    daemon.ended(1, 1, { kind: 'rejected', status: 421, misdirected: true, load: null });
    daemon.arrive(2, '/rack/1', 900, 8);
    expect(daemon.only('forward').length).toEqual(1);
    daemon.ticksUntil(daemon.now + 260);
    daemon.arrive(3, '/rack/1', 900, 9);
    expect(daemon.only('forward').some(({ requestId }) => requestId === 3)).toEqual(true);
  });
});
