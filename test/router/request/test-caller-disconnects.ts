import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon, describeServer } from '../support/single-daemon.js';

/** Longer than every hold, avoidance time and retry delay. */
const LONGEST_WAIT = 3_000;
const KEY = 5;

/** Sends request 1 to the daemon so that it waits for something. */
type StartWaiting = (daemon: SingleDaemon) => void;

function fillServers(daemon: SingleDaemon): void {
  for (const { load } of daemon.state.servers.values()) {
    load.report({ running: 2, waiting: 20, slots: 2, slowdown: null }, daemon.now);
  }
}

const WAITING_REQUESTS: Readonly<Record<string, StartWaiting>> = {
  'for the first configuration': (daemon) => {
    const { configuration } = daemon.state;
    daemon.state.configuration = null;
    daemon.receiveRequest(1, '/read/1');
    daemon.state.configuration = configuration;
  },
  'for a server with free capacity': (daemon) => {
    fillServers(daemon);
    daemon.receiveRequest(1, '/read/1');
  },
  'for the owner of its key': (daemon) => {
    daemon.receiveRequest(1, '/rack/1', 900, KEY);
  },
  'for its owner after a lost attempt': (daemon) => {
    daemon.own('s9');
    daemon.receiveRequest(1, '/rack/1', 900, KEY);
    daemon.ended(1, 1, { kind: 'lost', reason: 'reset', isResponseStarted: false, isClosedByServer: false });
  },
  'for a newer view of ownership after an owner rejected it': (daemon) => {
    daemon.own('s9');
    daemon.receiveRequest(1, '/rack/1', 900, KEY);
    daemon.ended(1, 1, { kind: 'rejected', status: 421, misdirected: true, load: null, attribution: 'id' });
  },
  'for a permit for a server with a rate limit': (daemon) => {
    const changes = ['s2', 's3'].map((id) => ({ id, server: null }));
    daemon.event({ kind: 'serversChanged', changes, revision: 6 });
    daemon.event({ kind: 'serverLimitRead', server: 's1', reading: 1, sentAt: daemon.now });
    daemon.receiveRequest(2, '/read/2');
    daemon.receiveRequest(1, '/read/1');
  },
  'for an answer': (daemon) => {
    daemon.receiveRequest(1, '/read/1');
  },
};

describe('a request whose answer can no longer be delivered', () => {
  // Guards against a server that gets fewer requests, or a retry, because a caller does not read.
  it('ends with the stated reason, without a retry and without blame for its server', () => {
    const daemon = new SingleDaemon();
    daemon.receiveRequest(1, '/read/1');
    const { server } = daemon.state.requests.get(1) ?? {};
    daemon.effects = [];
    const reason = 'the caller does not read its answers';
    daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: 'a-1', isArrivalReported: true, reason });
    expect(daemon.effectsOfKind('cancel').length).toEqual(1);
    expect(daemon.effectsOfKind('forward')).toEqual([]);
    const logged = daemon.effectsOfKind('log').filter(({ event }) => event === 'caller_left');
    expect(logged.map(({ fields }) => fields['reason'])).toEqual([reason]);
    const known = daemon.state.servers.get(server ?? '');
    expect(known?.load.failures).toEqual(0);
    expect(known?.load.avoidUntil).toEqual(0);
  });
});

describe('a caller that disconnects while its request waits', () => {
  for (const [awaited, startWaiting] of Object.entries(WAITING_REQUESTS)) {
    it(`${awaited}: nothing more is sent, and the attempt in flight is cancelled`, () => {
      const daemon = new SingleDaemon();
      startWaiting(daemon);
      const isInFlight = (daemon.state.requests.get(1)?.server ?? null) !== null;
      daemon.effects = [];
      daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: 'a-1', isArrivalReported: true });
      expect(daemon.effectsOfKind('cancel').length).toEqual(isInFlight ? 1 : 0);
      daemon.event({
        kind: 'serversChanged',
        changes: [{ id: 's7', server: describeServer('s7') }],
        revision: 7,
      });
      daemon.own('s8');
      daemon.tickUntil(daemon.now + LONGEST_WAIT);
      const sent = daemon.effectsOfKind('forward').filter(({ requestId }) => requestId === 1);
      expect(sent).toEqual([]);
      expect(daemon.state.requests.has(1) || daemon.state.earlyRequests.has(1)).toEqual(false);
      const inFlight = [...daemon.state.servers.values()].filter(({ load }) => load.inFlight.has(1));
      expect(inFlight).toEqual([]);
    });
  }
});
