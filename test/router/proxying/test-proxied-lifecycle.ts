/** Guards the decisions about requests that go to servers by way of another daemon, at both daemons. */
import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { AttemptResult } from '../../../src/router/events.js';
import type { ProxyDescription } from '../../../src/router/proxying/proxy-candidate.js';
import { describeProxy, HEARTBEAT } from '../support/heartbeats.js';
import { SingleDaemon } from '../support/single-daemon.js';

const REFUSED: AttemptResult = {
  kind: 'refusedByProxy',
  reason: 'every server is full',
  retryAfter: 80,
  attempts: 1,
  isPathLost: false,
  proofs: ['rejected by id'],
};
const LINK_LOST: AttemptResult = {
  kind: 'lost',
  reason: 'other side closed',
  isResponseStarted: false,
  isClosedByServer: true,
};
const ORIGIN = { daemon: 'd1', service: 'logs', attempts: 1, age: 30 };

let daemon: SingleDaemon;

/** Lets the daemon lose its path to all servers while requests wait for them. */
function losePath(): void {
  daemon.hasPath = false;
  for (let request = 1_001; request <= 1_003; request += 1) {
    daemon.receiveRequest(request, `/read/${request}`);
  }
  daemon.tickUntil(daemon.now + 1_000);
  expect(daemon.state.reachability.paths.get('logs')?.status).toEqual('lost');
  daemon.state.requests.clear();
  daemon.effects = [];
}

function hearProxies(proxies: ProxyDescription[], pathlessDaemons = 1): void {
  daemon.event({
    kind: 'peerMessage',
    link: 0,
    message: { ...HEARTBEAT, watchers: [], proxies, pathlessDaemons, serviceLoads: [] },
  });
}

function proxiesUsed(): string[] {
  return daemon.effectsOfKind('forwardToProxy').map(({ address }) => address);
}

describe('a daemon without a path to the servers', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
    losePath();
  });

  it('sends a request to a daemon that has one, and no request to a server', () => {
    hearProxies([describeProxy('d2')]);
    daemon.receiveRequest(1, '/book/1');
    expect(proxiesUsed()).toEqual(['10.0.1.2:71']);
    expect(daemon.effectsOfKind('forward')).toEqual([]);
  });

  it('refuses at once when no other daemon has one', () => {
    hearProxies([describeProxy('d2', { lostServices: ['logs'] })]);
    daemon.receiveRequest(1, '/book/1');
    const [answer] = daemon.effectsOfKind('answer');
    expect([answer?.status, answer?.execution.mayHaveRun]).toEqual([503, false]);
    expect((answer?.retryAfter ?? 0) > 0).toEqual(true);
  });

  // Knew no proxy 2 s after the last heartbeat, and refused everything until a new leader had named some.
  it('goes on using the proxies that were named last while it has no parent', () => {
    hearProxies([describeProxy('d2')]);
    daemon.tickUntil(daemon.now + 8_000);
    daemon.receiveRequest(1, '/book/1');
    expect(proxiesUsed()).toEqual(['10.0.1.2:71']);
    daemon.tickUntil(daemon.now + 8_000);
    daemon.receiveRequest(2, '/book/2');
    expect(proxiesUsed()).toEqual(['10.0.1.2:71']);
  });

  it('prefers a daemon with some more requests to the leader', () => {
    hearProxies([describeProxy('d9', { requests: 3 }), describeProxy('d2', { requests: 12 })]);
    daemon.receiveRequest(1, '/read/1');
    expect(proxiesUsed()).toEqual(['10.0.1.2:71']);
  });

  it('prefers its own zone, and leaves it for a daemon with far fewer requests', () => {
    hearProxies([describeProxy('d2', { zone: 'other' }), describeProxy('d3', { requests: 4 })]);
    daemon.receiveRequest(1, '/read/1');
    hearProxies([describeProxy('d2', { zone: 'other' }), describeProxy('d3', { requests: 40 })]);
    daemon.receiveRequest(2, '/read/2');
    expect(proxiesUsed()).toEqual(['10.0.1.3:71', '10.0.1.2:71']);
  });

  it('spreads requests over daemons with equal loads', () => {
    hearProxies([describeProxy('d2'), describeProxy('d3')]);
    for (let request = 1; request <= 10; request += 1) {
      daemon.receiveRequest(request, `/read/${request}`);
    }
    const used = proxiesUsed();
    expect(used.filter((address) => address === '10.0.1.2:71').length).toEqual(5);
  });

  it('prefers daemons whose path is proven', () => {
    hearProxies([describeProxy('d2', { reached: [] }), describeProxy('d3', { requests: 30 })]);
    daemon.receiveRequest(1, '/read/1');
    expect(proxiesUsed()).toEqual(['10.0.1.3:71']);
  });

  it('tries another daemon when the first has no path either, also for a request that may run once', () => {
    hearProxies([describeProxy('d2'), describeProxy('d3')]);
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, { ...REFUSED, isPathLost: true });
    const [first, second] = proxiesUsed();
    expect(second === undefined || second === first).toEqual(false);
    expect(daemon.effectsOfKind('answer')).toEqual([]);
  });

  it('passes a refusal on with its time to retry: nothing has run', () => {
    hearProxies([describeProxy('d2'), describeProxy('d3')]);
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, REFUSED);
    const [answer] = daemon.effectsOfKind('answer');
    expect([answer?.status, answer?.reason, answer?.retryAfter]).toEqual([503, 'every server is full', 80]);
  });

  it('does not send a request twice that may run once when the link is lost after the write', () => {
    hearProxies([describeProxy('d2'), describeProxy('d3')]);
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, LINK_LOST);
    expect(proxiesUsed().length).toEqual(1);
    const [answer] = daemon.effectsOfKind('answer');
    expect([answer?.status, answer?.execution.mayHaveRun, answer?.retryAfter]).toEqual([502, true, null]);
  });

  it('pays for the retry of a repeatable request after a lost link, and tells the next proxy of the attempt', () => {
    hearProxies([describeProxy('d2'), describeProxy('d3')]);
    daemon.receiveRequest(1, '/read/1');
    daemon.ended(1, 1, LINK_LOST);
    const sent = daemon.effectsOfKind('forwardToProxy');
    expect(sent.map(({ origin }) => origin.attempts)).toEqual([0, 1]);
    daemon.ended(1, 2, LINK_LOST);
    expect(daemon.effectsOfKind('forwardToProxy').length).toEqual(2);
    expect(daemon.effectsOfKind('answer')[0]?.reason).toEqual('no attempt is left');
  });

  it('states the time left and its age', () => {
    hearProxies([describeProxy('d2')]);
    daemon.receiveRequest(1, '/read/1', 900, null, 25);
    const [sent] = daemon.effectsOfKind('forwardToProxy');
    expect([sent?.timeLeft, sent?.origin.age]).toEqual([875, 25]);
  });

  it('cancels a request at the proxy whose caller leaves', () => {
    hearProxies([describeProxy('d2')]);
    daemon.receiveRequest(1, '/read/1');
    daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: 'a-1', isArrivalReported: true });
    expect(daemon.effectsOfKind('cancel').map(({ requestId }) => requestId)).toEqual([1]);
    expect(daemon.state.proxying.requestsAt.size).toEqual(0);
  });

  it('uses its own path again once connections come up', () => {
    hearProxies([describeProxy('d2')]);
    daemon.hasPath = true;
    daemon.tickUntil(daemon.now + 600);
    daemon.receiveRequest(1, '/read/1');
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    expect(proxiesUsed()).toEqual([]);
  });

  it('logs the proxy', () => {
    hearProxies([describeProxy('d2')]);
    daemon.receiveRequest(1, '/read/1');
    daemon.ended(1, 1, { kind: 'answered', status: 200, load: null });
    const [line] = daemon.effectsOfKind('log').filter(({ event }) => event === 'request_answered');
    expect(line?.fields['proxy']).toEqual('d2');
    expect(line?.fields['attempts']).toEqual(['d2 answered 200 after 0 ms']);
  });
});

describe('a daemon that sends requests for another one', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
  });

  it('sends them to a server, without charging the attempt that their origin has paid for', () => {
    daemon.receiveRequest(1, '/read/1', 500, null, 0, ORIGIN);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    expect(daemon.state.retryBudgets.size).toEqual(0);
    expect(daemon.state.counters.retries_over_budget).toEqual(0);
  });

  it('makes no more attempts than the route allows, with those of the origin', () => {
    daemon.receiveRequest(1, '/read/1', 500, null, 0, ORIGIN);
    daemon.ended(1, 1, LINK_LOST);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    const [answer] = daemon.effectsOfKind('answer');
    expect([answer?.reason, answer?.execution.mayHaveRun]).toEqual(['no attempt is left', true]);
  });

  it('counts the time that the origin has used', () => {
    daemon.receiveRequest(1, '/read/1', 500, null, 0, ORIGIN);
    expect(daemon.effectsOfKind('forward')[0]?.timeLeft).toEqual(500);
    daemon.receiveRequest(2, '/read/2', null, null, 0, { ...ORIGIN, age: 400 });
    expect(daemon.effectsOfKind('forward')[1]?.timeLeft).toEqual(600);
  });

  it('never sends them to a third daemon', () => {
    losePath();
    hearProxies([describeProxy('d2')]);
    daemon.receiveRequest(1, '/read/1', 500, null, 0, ORIGIN);
    expect(proxiesUsed()).toEqual([]);
    const [answer] = daemon.effectsOfKind('answer');
    expect([answer?.status, answer?.isPathLost, answer?.execution.mayHaveRun]).toEqual([503, true, false]);
  });

  it('does not count the keys that its origin counts', () => {
    daemon.own('s9');
    daemon.receiveRequest(1, '/rack/1', 500, 7, 0, { ...ORIGIN, service: 'racks' });
    expect(daemon.state.keyTallies.size).toEqual(0);
    daemon.receiveRequest(2, '/rack/2', 500, 7);
    expect(daemon.state.keyTallies.size).toEqual(1);
  });

  it('compares the age of its own data with the bounds', () => {
    daemon.isDataConfirmed = false;
    daemon.tickUntil(daemon.now + 1_700);
    daemon.effects = [];
    daemon.receiveRequest(1, '/read/1', 500, null, 0, ORIGIN);
    expect(daemon.effectsOfKind('forward')).toEqual([]);
    daemon.tickUntil(daemon.now + 300);
    const [answer] = daemon.effectsOfKind('answer');
    expect([answer?.status, answer?.execution.mayHaveRun]).toEqual([503, false]);
  });

  it('takes over the share of a server that daemons without a path leave', () => {
    hearProxies([], 0);
    for (let request = 1; request <= 6; request += 1) {
      daemon.receiveRequest(request, `/book/${request}`);
    }
    expect(daemon.effectsOfKind('forward').length).toEqual(3);
    hearProxies([], 9);
    for (let request = 7; request <= 12; request += 1) {
      daemon.receiveRequest(request, `/book/${request}`);
    }
    expect(daemon.effectsOfKind('forward').length > 6).toEqual(true);
  });

  it('logs the origin', () => {
    daemon.receiveRequest(1, '/read/1', 500, null, 0, ORIGIN);
    daemon.ended(1, 1, { kind: 'answered', status: 200, load: null });
    const [line] = daemon.effectsOfKind('log').filter(({ event }) => event === 'request_answered');
    expect(line?.fields['proxied_for']).toEqual('d1');
  });

  it('reports at a planned stop that it takes no more', () => {
    daemon.state.election.leader = {
      ...HEARTBEAT,
      daemon: 'd9',
      life: 9,
      address: HEARTBEAT.leaderAddress,
      beat: 0,
      settled: true,
      resigned: false,
    };
    daemon.event({ kind: 'stopping' });
    daemon.tickUntil(daemon.now + 40);
    const reports = daemon.effectsOfKind('sendToParent').map(({ message }) => message);
    const report = reports.findLast((message) => message.kind === 'report');
    expect(report?.reach?.address).toEqual('');
  });
});
