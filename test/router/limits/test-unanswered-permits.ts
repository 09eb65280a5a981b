/*
 * Guards against requests that wait for a permit although another server would take them. Of several servers the one with a rate limit seemed
 * fastest, so the request waited for its permit. The leader that grants permits was lost, no permit arrived, and the request waited for
 * 63 of the 88 ms for which it may be held, while the other servers were available.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon } from '../support/single-daemon.js';
import { toAddress } from '../../support/addresses.js';

const PARENT = toAddress('10.0.0.8:1');
const TICK = 20;
/** Longer than the few milliseconds that an answer of the leader takes. */
const ANSWER_TIME = 2 * TICK;
const RELAY_STANDSTILL = 2_000;
const BUSY = { running: 1, waiting: 0, slots: 2, slowdown: 2 };

/** Delivers a heartbeat of the leader, which is the parent. */
function receiveLeaderHeartbeat(daemon: SingleDaemon): void {
  const message = {
    kind: 'heartbeat',
    term: 1,
    leader: 'd9',
    leaderLife: 9,
    leaderAddress: PARENT,
    heardAge: 0,
    confirmationAge: 0,
    leaderRevision: 9,
    newsAge: 0,
    evacuationsAge: 0,
    reportSentAt: 0,
    reportHeld: 0,
    serversPosition: 0,
    configurationRevision: 0,
    daemons: 5,
    configurationVersion: 1,
    serversRevision: 1,
    evacuations: null,
  } as const;
  daemon.event({
    kind: 'peerMessage',
    link: 0,
    message: { ...message, watchers: [], proxies: [], pathlessDaemons: 0, serviceLoads: [] },
  });
  daemon.state.tree.parent = PARENT;
}

/** Returns a daemon with a parent and three servers, of which one announces a limit and is idle and the others are busy. */
function startLimited(): SingleDaemon {
  const daemon = new SingleDaemon();
  receiveLeaderHeartbeat(daemon);
  for (const id of ['s2', 's3']) {
    daemon.state.servers.get(id)?.load.report(BUSY, daemon.now);
  }
  const sentAt = daemon.now - 1;
  daemon.event({ kind: 'serverLimitRead', server: 's1', reading: 3, sentAt });
  daemon.effects = [];
  return daemon;
}

/** Lets time pass while the parent sends heartbeats but answers no permit requests. */
function wait(daemon: SingleDaemon, length: number): void {
  const end = daemon.now + length;
  while (daemon.now < end) {
    receiveLeaderHeartbeat(daemon);
    daemon.tickUntil(daemon.now + TICK);
  }
}

function grantPermit(daemon: SingleDaemon, requestId: number): void {
  const answer = { server: 's1', requestId, priority: 1, granted: true, nextPlaceIn: 0, path: [] };
  daemon.event({ kind: 'peerMessage', link: 0, message: { kind: 'permitAnswer', ...answer } });
}

describe('a permit that does not arrive', () => {
  it('delays no request while another server is available', () => {
    const daemon = startLimited();
    daemon.receiveRequest(1, '/read/a');
    expect(daemon.effectsOfKind('forward')).toEqual([]);
    expect(daemon.effectsOfKind('sendToParent').at(-1)?.message.kind).toEqual('permitAsk');
    wait(daemon, ANSWER_TIME);
    expect(daemon.effectsOfKind('forward').map(({ server }) => server === 's1')).toEqual([false]);
    expect(daemon.effectsOfKind('answer')).toEqual([]);
  });

  it('is awaited if every server announces a limit, and requested only once', () => {
    const daemon = startLimited();
    for (const server of ['s2', 's3']) {
      daemon.event({ kind: 'serverLimitRead', server, reading: 3, sentAt: daemon.now - 1 });
    }
    daemon.effects = [];
    daemon.receiveRequest(1, '/read/a');
    wait(daemon, 60);
    const asks = daemon.effectsOfKind('sendToParent').filter(({ message }) => message.kind === 'permitAsk');
    expect(asks.length).toEqual(1);
    expect(daemon.effectsOfKind('answer')).toEqual([]);
  });

  it('lets its request be sent at once when it arrives after all', () => {
    const daemon = startLimited();
    daemon.receiveRequest(1, '/read/a');
    grantPermit(daemon, 1);
    expect(daemon.effectsOfKind('forward').map(({ server }) => server)).toEqual(['s1']);
  });

  // Guards against a burst at a limited server: a relay stood still, delivered the answers of 2 s at once, and their
  // permits were used although other daemons had been granted the same rate since.
  it('is not used when it arrives after the answer was overdue', () => {
    const daemon = startLimited();
    const requests = [1, 2, 3, 4, 5];
    requests.forEach((requestId) => daemon.receiveRequest(requestId, `/read/${requestId}`));
    wait(daemon, RELAY_STANDSTILL);
    daemon.effects = [];
    requests.forEach((requestId) => grantPermit(daemon, requestId));
    requests.forEach((requestId) => daemon.receiveRequest(requestId + requests.length, `/read/${requestId}`));
    const sent = daemon.effectsOfKind('forward').filter(({ server }) => server === 's1');
    expect(sent.length).toEqual(0);
  });
});
