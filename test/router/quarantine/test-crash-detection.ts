import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { AttemptResult, ControlOutcome } from '../../../src/router/events.js';
import { fingerprintOf } from '../support/fingerprints.js';
import { describeServer, SingleDaemon } from '../support/single-daemon.js';

const CONNECTION_CLOSED: AttemptResult = {
  kind: 'lost',
  reason: 'other side closed',
  isResponseStarted: false,
  isClosedByServer: true,
};
const ANSWERED: AttemptResult = { kind: 'answered', status: 200, load: null };
const REQUEST = '/book/1';
const SERVER_ID = 's1';
/**
 * Time within which this daemon must detect a crash, so that the others learn of it within the 3 s that are allowed from
 * the crash to the last send.
 */
const MAX_DETECTION_TIME = 1_700;

/** Returns a daemon whose request was at its only server when the server closed the connection. */
function createDaemonWithClosedConnection(): SingleDaemon {
  const daemon = new SingleDaemon();
  daemon.event({ kind: 'serversListed', servers: [describeServer(SERVER_ID)], revision: 6 });
  daemon.receiveRequest(1, REQUEST);
  daemon.tickUntil(daemon.now + 100);
  daemon.ended(1, 1, CONNECTION_CLOSED);
  return daemon;
}

/** Advances time, and answers each probe with the given outcome at once. */
function answerProbes(daemon: SingleDaemon, outcome: ControlOutcome): void {
  const end = daemon.now + MAX_DETECTION_TIME;
  while (daemon.now < end) {
    daemon.effects = [];
    daemon.tickUntil(daemon.now + 20);
    for (const { callId } of daemon.effectsOfKind('control')) {
      daemon.event({ kind: 'controlEnded', callId, outcome });
    }
  }
}

function countCrashes(daemon: SingleDaemon): number {
  return daemon.state.crashTable.crashCount(fingerprintOf(REQUEST));
}

describe('a server that closed the connection of a request', () => {
  const outcomes: readonly [string, ControlOutcome, number][] = [
    ['refuses connections', { kind: 'notSent', reason: 'refused', refused: true }, 1],
    ['is another incarnation', { kind: 'otherInstance', instance: 's9' }, 1],
    ['is unreachable', { kind: 'notSent', reason: 'connect timeout', refused: false }, 1],
    ['answers no probe', { kind: 'unanswered', reason: 'timeout' }, 1],
    ['answers a probe', { kind: 'accepted', handover: null }, 0],
  ];
  for (const [name, outcome, expected] of outcomes) {
    it(`has ${expected === 1 ? '' : 'not '}crashed when it ${name}`, () => {
      const daemon = createDaemonWithClosedConnection();
      answerProbes(daemon, outcome);
      expect(countCrashes(daemon)).toEqual(expected);
    });
  }

  it('has crashed when its entry is removed', () => {
    const daemon = createDaemonWithClosedConnection();
    daemon.event({ kind: 'serversChanged', changes: [{ id: SERVER_ID, server: null }], revision: 9 });
    expect(countCrashes(daemon)).toEqual(1);
  });

  it('has not crashed when it answers a request that was sent afterwards', () => {
    const daemon = createDaemonWithClosedConnection();
    daemon.tickUntil(daemon.now + 300);
    daemon.receiveRequest(2, '/read/2');
    daemon.ended(2, 1, ANSWERED);
    daemon.event({ kind: 'serversChanged', changes: [{ id: SERVER_ID, server: null }], revision: 9 });
    expect(countCrashes(daemon)).toEqual(0);
  });

  it('has not crashed when it was draining', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'serversListed', servers: [describeServer(SERVER_ID)], revision: 6 });
    daemon.receiveRequest(1, REQUEST);
    const draining = { ...describeServer(SERVER_ID), draining: true };
    daemon.event({ kind: 'serversChanged', changes: [{ id: SERVER_ID, server: draining }], revision: 8 });
    daemon.tickUntil(daemon.now + 100);
    daemon.ended(1, 1, CONNECTION_CLOSED);
    answerProbes(daemon, { kind: 'notSent', reason: 'refused', refused: true });
    expect(countCrashes(daemon)).toEqual(0);
  });
});
