import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon, server } from '../support/single-daemon.js';

/** Beyond every hold, avoidance and retry. */
const LONG_AFTER = 3_000;
const KEY = 5;

/** Brings request 1 to a place where it waits. */
type Waiting = (daemon: SingleDaemon) => void;

function fill(daemon: SingleDaemon): void {
  for (const { load } of daemon.state.servers.values()) {
    load.report({ running: 2, waiting: 20, slots: 2, slowdown: null }, daemon.now);
  }
}

const PLACES: Readonly<Record<string, Waiting>> = {
  'for the first configuration': (daemon) => {
    const { configuration } = daemon.state;
    daemon.state.configuration = null;
    daemon.arrive(1, '/read/1');
    daemon.state.configuration = configuration;
  },
  'for a server that has room': (daemon) => {
    fill(daemon);
    daemon.arrive(1, '/read/1');
  },
  'for the owner of its key': (daemon) => {
    daemon.arrive(1, '/rack/1', 900, KEY);
  },
  'for its owner after a lost attempt': (daemon) => {
    daemon.own('s9');
    daemon.arrive(1, '/rack/1', 900, KEY);
    daemon.ended(1, 1, { kind: 'lost', reason: 'reset', answerBegun: false, connectionEnded: false });
  },
  'for a newer view after an owner turned it away': (daemon) => {
    daemon.own('s9');
    daemon.arrive(1, '/rack/1', 900, KEY);
    daemon.ended(1, 1, { kind: 'rejected', status: 421, misdirected: true, load: null });
  },
  'for a permit of a server with a limit': (daemon) => {
    const changes = ['s2', 's3'].map((id) => ({ id, server: null }));
    daemon.event({ kind: 'serversChanged', changes, revision: 6 });
    daemon.event({ kind: 'serverLimitRead', server: 's1', reading: 1, sentAt: daemon.now });
    daemon.arrive(2, '/read/2');
    daemon.arrive(1, '/read/1');
  },
  'for an answer': (daemon) => {
    daemon.arrive(1, '/read/1');
  },
};

describe('a caller that leaves while its request waits', () => {
  for (const [place, wait] of Object.entries(PLACES)) {
    it(`${place}: nothing more is sent, and an attempt under way is cancelled`, () => {
      const daemon = new SingleDaemon();
      wait(daemon);
      const isUnderWay = (daemon.state.requests.get(1)?.server ?? null) !== null;
      daemon.effects = [];
      daemon.event({ kind: 'callerLeft', requestId: 1, attemptId: 'a-1', isTakenIn: true });
      expect(daemon.only('cancel').length).toEqual(isUnderWay ? 1 : 0);
      daemon.event({ kind: 'serversChanged', changes: [{ id: 's7', server: server('s7') }], revision: 7 });
      daemon.own('s8');
      daemon.ticksUntil(daemon.now + LONG_AFTER);
      const sent = daemon.only('forward').filter(({ requestId }) => requestId === 1);
      expect(sent).toEqual([]);
      expect(daemon.state.requests.has(1) || daemon.state.early.has(1)).toEqual(false);
      const inFlight = [...daemon.state.servers.values()].filter(({ load }) => load.inFlight.has(1));
      expect(inFlight).toEqual([]);
    });
  }
});
