import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { AttemptResult } from '../../../src/router/events.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import { OwnershipView } from '../../../src/router/ownership/ownership-view.js';
import { CONFIGURATION, describeServer, SingleDaemon } from '../support/single-daemon.js';

let daemon: SingleDaemon;

const LOST: AttemptResult = {
  kind: 'lost',
  reason: 'reset',
  isResponseStarted: false,
  isClosedByServer: true,
};
const REJECTED: AttemptResult = {
  kind: 'rejected',
  status: 503,
  misdirected: false,
  load: null,
  attribution: 'id',
};

describe('the life cycle of a request', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
  });

  it('is refused with a retry time before a configuration is known', () => {
    daemon.state.configuration = null;
    daemon.receiveRequest(1, '/read/1');
    daemon.tickUntil(1_140);
    expect(daemon.effectsOfKind('answer')[0]?.status).toEqual(503);
    expect((daemon.effectsOfKind('answer')[0]?.retryAfter ?? 0) > 0).toEqual(true);
  });

  it('is held when it arrives shortly before the first configuration', () => {
    daemon.state.configuration = null;
    daemon.receiveRequest(1, '/read/1');
    daemon.tickUntil(1_080);
    expect(daemon.effectsOfKind('answer')).toEqual([]);
    daemon.event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
  });

  it('is dropped when its caller disconnects before the first configuration', () => {
    daemon.state.configuration = null;
    daemon.receiveRequest(1, '/read/1');
    daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: '', isArrivalReported: true });
    daemon.event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    expect(daemon.effectsOfKind('forward')).toEqual([]);
  });

  it('is answered 404 without a route once a configuration is in force', () => {
    daemon.receiveRequest(1, '/nothing/1');
    expect(daemon.effectsOfKind('answer')[0]?.status).toEqual(404);
  });

  // Sent again within 10 ms, a request is shed again by an owner at capacity and has no attempt left.
  it("is refused at once when an owner at capacity rejects it, with a retry time from the owner's queue", () => {
    const unit = {
      service: 'racks',
      from: 0,
      to: 65_535,
      owner: 's9',
      fence: 3,
      granted: true,
      releasing: null,
    };
    daemon.state.ownershipView = new OwnershipView(1, 1, [unit]);
    const changes = [{ id: 's9', server: { ...describeServer('s9'), service: 'racks' } }];
    daemon.event({ kind: 'serversChanged', changes, revision: 6 });
    daemon.receiveRequest(1, '/rack/1', 900, 5);
    const load = { running: 2, waiting: 12, slots: 2, slowdown: null };
    daemon.ended(1, 1, { kind: 'rejected', status: 503, misdirected: false, load, attribution: 'id' });
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    expect(daemon.effectsOfKind('answer').map(({ status, reason }) => [status, reason])).toEqual([
      [503, 'the owner s9 is full'],
    ]);
    // Callers honour a third of the 900 ms that they have left, and are spread over that.
    const retryAfter = daemon.effectsOfKind('answer')[0]?.retryAfter ?? 0;
    expect(retryAfter >= 200 && retryAfter <= 300).toEqual(true);
  });

  it('is sent again to an owner that rejected it with free capacity', () => {
    daemon.own('s9');
    daemon.receiveRequest(1, '/rack/1', 900, 5);
    const load = { running: 1, waiting: 0, slots: 2, slowdown: null };
    daemon.ended(1, 1, { kind: 'rejected', status: 503, misdirected: false, load, attribution: 'id' });
    expect(daemon.effectsOfKind('forward').length).toEqual(2);
  });

  it('has unreadable load reports counted, and logged once', () => {
    for (const requestId of [1, 2, 3]) {
      daemon.receiveRequest(requestId, '/read/1');
      daemon.ended(requestId, 1, { kind: 'answered', status: 200, load: { unreadable: '3;1;4' } });
    }
    expect(daemon.state.counters.malformed_load_reports).toEqual(3);
    const logged = daemon.effectsOfKind('log').filter((line) => line.event === 'malformed_load_report');
    expect(logged.map(({ fields }) => fields['found'])).toEqual(['3;1;4']);
  });

  it('is sent to another server after a lost attempt when it is repeatable', () => {
    daemon.receiveRequest(1, '/read/1');
    daemon.ended(1, 1, LOST);
    const sent = daemon.effectsOfKind('forward').map((effect) => effect.server);
    expect(sent.length).toEqual(2);
    expect(new Set(sent).size).toEqual(2);
  });

  it('is never sent again when it may have run and is not repeatable', () => {
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, LOST);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    expect(daemon.effectsOfKind('answer').map(({ status, retryAfter }) => [status, retryAfter])).toEqual([
      [502, null],
    ]);
  });

  it('is sent again when a server proves that it has not run', () => {
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, REJECTED);
    expect(daemon.effectsOfKind('forward').length).toEqual(2);
  });

  it('is answered as not run when each attempt was rejected', () => {
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, REJECTED);
    daemon.ended(1, 2, REJECTED);
    expect(daemon.effectsOfKind('answer')[0]?.status).toEqual(503);
    expect((daemon.effectsOfKind('answer')[0]?.retryAfter ?? 0) > 0).toEqual(true);
  });

  // Servers reset connections beyond their limit, as they did with 87 daemons that did not share it.
  it("stays within the daemon's share of a server's connection limit", () => {
    daemon.event({ kind: 'serversListed', servers: [{ ...describeServer('s1'), slots: 8 }], revision: 6 });
    daemon.state.daemons = 3;
    for (let requestId = 1; requestId <= 6; requestId += 1) {
      daemon.receiveRequest(requestId, '/read/1');
    }
    // The servers of this service accept 10 connections: 9 are used, 3 by each daemon.
    expect(daemon.effectsOfKind('forward').length).toEqual(3);
  });

  it('is sent to no more servers than the route allows', () => {
    daemon.receiveRequest(1, '/read/1');
    daemon.ended(1, 1, LOST);
    daemon.ended(1, 2, LOST);
    expect(daemon.effectsOfKind('forward').length).toEqual(2);
    expect(daemon.effectsOfKind('answer')[0]?.status).toEqual(502);
  });

  it('ends at the deadline of the route', () => {
    daemon.receiveRequest(1, '/book/1', null);
    daemon.tickUntil(2_100);
    expect(daemon.effectsOfKind('cancel').length).toEqual(1);
    expect(daemon.effectsOfKind('answer')[0]?.status).toEqual(504);
  });

  it('is cancelled at once when its caller disconnects, and not sent again', () => {
    daemon.receiveRequest(1, '/read/1');
    daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: '', isArrivalReported: true });
    daemon.ended(1, 1, LOST);
    expect(daemon.effectsOfKind('cancel').length).toEqual(1);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    expect(daemon.effectsOfKind('answer')).toEqual([]);
  });

  it('is not sent to a draining server', () => {
    for (const id of ['s1', 's2']) {
      daemon.event({
        kind: 'serversChanged',
        changes: [{ id, server: { ...describeServer(id), draining: true } }],
        revision: 6,
      });
    }
    for (let requestId = 1; requestId <= 2; requestId += 1) {
      daemon.receiveRequest(requestId, '/read/1');
    }
    expect(new Set(daemon.effectsOfKind('forward').map((effect) => effect.server))).toEqual(new Set(['s3']));
  });

  // A slow older request at the same server must not cancel requests that take 200 ms.
  it('stays at a server that is unresponsive only to an older request', () => {
    for (let requestId = 1; requestId <= 3; requestId += 1) {
      daemon.receiveRequest(requestId, '/read/1');
    }
    daemon.tickUntil(1_300);
    const busyServer = daemon.effectsOfKind('forward')[0]?.server;
    for (let requestId = 10; requestId < 14; requestId += 1) {
      daemon.receiveRequest(requestId, '/read/1');
    }
    const newer = daemon
      .effectsOfKind('forward')
      .find((effect) => effect.requestId >= 10 && effect.server === busyServer);
    daemon.tickUntil(1_460);
    expect(daemon.effectsOfKind('cancel').some((effect) => effect.requestId === newer?.requestId)).toEqual(
      false,
    );
  });

  // Judged by the assumed service time of 80 ms, servers with long requests would count as unresponsive.
  it("stays at its server for a time that depends on its service's service time", () => {
    for (let requestId = 1; requestId <= 12; requestId += 1) {
      daemon.receiveRequest(requestId, '/read/1', null);
      daemon.now += 300;
      daemon.ended(requestId, 1, { kind: 'answered', status: 200, load: null });
    }
    daemon.effects = [];
    daemon.receiveRequest(50, '/read/1', null);
    daemon.tickUntil(daemon.now + 700);
    expect(daemon.effectsOfKind('cancel')).toEqual([]);
  });

  // Without the check of the budget, the attempt is cancelled and then its retry refused.
  it('stays at an unresponsive server when no retry is left in the budget', () => {
    daemon.receiveRequest(1, '/read/1');
    const budget = daemon.state.retryBudgets.get('logs');
    while (budget?.tryTake() === true) {
      // Spends the whole budget, as other requests would.
    }
    daemon.tickUntil(1_800);
    expect(daemon.effectsOfKind('cancel')).toEqual([]);
    expect(daemon.effectsOfKind('answer')).toEqual([]);
  });

  // A server that becomes 12 times slower answers nothing in time. Without samples from unanswered requests, its estimate stays low and
  // every request is sent there.
  it('avoids a server whose callers disconnect before an answer, until a later time', () => {
    const sentTo = (requestId: number): string | undefined =>
      daemon.effectsOfKind('forward').find((effect) => effect.requestId === requestId)?.server;
    const answer = (requestId: number): void => {
      daemon.ended(requestId, 1, { kind: 'answered', status: 200, load: null });
    };
    let requestId = 1;
    const sendRequests = (rounds: number): number => {
      let atSlow = 0;
      for (let round = 0; round < rounds; round += 1, requestId += 1) {
        daemon.receiveRequest(requestId, '/book/1');
        atSlow += sentTo(requestId) === 's1' ? 1 : 0;
        daemon.now += sentTo(requestId) === 's1' ? 350 : 50;
        if (sentTo(requestId) === 's1') {
          daemon.event({ kind: 'callerLeft', requestId, attemptId: '', isArrivalReported: true });
        } else {
          answer(requestId);
        }
      }
      return atSlow;
    };
    sendRequests(15);
    expect(sendRequests(60) <= 3).toEqual(true);
    daemon.now += 20_000;
    expect(sendRequests(30) >= 1).toEqual(true);
  });

  it('is not cancelled at an unresponsive server during a planned stop', () => {
    daemon.receiveRequest(1, '/read/1', null);
    daemon.event({ kind: 'stopping' });
    daemon.tickUntil(1_900);
    expect(daemon.effectsOfKind('cancel')).toEqual([]);
  });

  // Without a delay, the second attempt meets the same owner at capacity within 2 ms and no attempt is left.
  it('is sent again to an owner that reset it only after a delay', () => {
    const owner: ServerDescription = { ...describeServer('s9'), service: 'racks' };
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's9', server: owner }], revision: 6 });
    const unit = { service: 'racks', from: 0, to: 65_535, owner: 's9', fence: 3, releasing: null };
    daemon.state.ownershipView = new OwnershipView(1, 1, [{ ...unit, granted: true }]);
    daemon.receiveRequest(1, '/rack/1', 900, 7);
    daemon.ended(1, 1, LOST);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    daemon.tickUntil(daemon.now + 200);
    expect(daemon.effectsOfKind('forward').length).toEqual(2);
  });

  // After the loss of all daemons, requests meet owners without leases; each one sent there spends the retry budget.
  it('is not sent to an owner that has just rejected another request as misdirected, until a short time later', () => {
    const owner: ServerDescription = { ...describeServer('s9'), service: 'racks' };
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's9', server: owner }], revision: 6 });
    const unit = { service: 'racks', from: 0, to: 65_535, owner: 's9', fence: 3, releasing: null };
    daemon.state.ownershipView = new OwnershipView(1, 1, [{ ...unit, granted: true }]);
    daemon.receiveRequest(1, '/rack/1', 900, 7);
    daemon.ended(1, 1, { kind: 'rejected', status: 421, misdirected: true, load: null, attribution: 'id' });
    daemon.receiveRequest(2, '/rack/1', 900, 8);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    daemon.tickUntil(daemon.now + 260);
    daemon.receiveRequest(3, '/rack/1', 900, 9);
    expect(daemon.effectsOfKind('forward').some(({ requestId }) => requestId === 3)).toEqual(true);
  });
});
