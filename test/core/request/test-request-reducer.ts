import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { AttemptResult } from '../../../src/core/events.js';
import {
  applyChange,
  assignmentChange,
  createOwnershipTable,
} from '../../../src/core/ownership/ownership-table.js';
import { DaemonFixture, effectsOfKind } from '../../support/daemon-fixture.js';

const LOST: AttemptResult = { kind: 'lost', reason: 'reset', answerStarted: false };
const REFUSED: AttemptResult = { kind: 'refused', reason: 'not-owner' };

function endAttempt(
  daemon: DaemonFixture,
  attempt: number,
  result: AttemptResult,
): ReturnType<DaemonFixture['dispatch']> {
  return daemon.dispatch({ kind: 'attemptEnded', requestId: 1, attempt, result });
}

describe('request reducer', () => {
  it('forwards a keyed request to the owner with its fencing token', () => {
    const [forward] = effectsOfKind(new DaemonFixture().request(1, 'GET', '/k/a'), 'forward');
    expect(forward?.server).toEqual('keyed-1');
    expect(forward?.token?.epoch).toEqual(7);
  });

  for (const [name, method, path, extra, status] of [
    ['an unknown path', 'GET', '/nowhere', {}, 404],
    ['a missing key', 'GET', '/h', {}, 400],
    ['too many hops', 'GET', '/k/a', { headers: { 'fennelferry-hops': '2' } }, 508],
  ] as const) {
    it(`refuses ${name} with ${status}, not run`, () => {
      const [answer] = effectsOfKind(new DaemonFixture().request(1, method, path, extra), 'answer');
      expect(answer?.status).toEqual(status);
      expect(answer?.outcome).toEqual('not-run');
    });
  }

  it('never retries an unrepeatable request that may have run', () => {
    const daemon = new DaemonFixture();
    daemon.request(1, 'POST', '/k/a');
    const effects = [...endAttempt(daemon, 1, LOST), ...daemon.advance(500)];
    expect(effectsOfKind(effects, 'forward')).toEqual([]);
    expect(effectsOfKind(effects, 'answer').map((answer) => answer.outcome)).toEqual(['unknown']);
  });

  it('retries an unrepeatable request that was refused, because it was not run', () => {
    const daemon = new DaemonFixture();
    daemon.request(1, 'POST', '/k/a');
    const effects = [...endAttempt(daemon, 1, REFUSED), ...daemon.advance(100)];
    expect(effectsOfKind(effects, 'forward').map((forward) => forward.attempt)).toEqual([2]);
  });

  it('does not report not-run for a request that may have run in an earlier attempt', () => {
    const daemon = new DaemonFixture();
    daemon.request(1, 'GET', '/k/a');
    const effects = [...endAttempt(daemon, 1, LOST), ...daemon.advance(60)];
    expect(effectsOfKind(effects, 'forward').length).toEqual(1);
    effects.push(...endAttempt(daemon, 2, REFUSED));
    for (let attempt = 3; attempt < 40; attempt += 1) {
      daemon.advance(200);
      effects.push(...endAttempt(daemon, attempt, REFUSED), ...daemon.advance(20));
    }
    expect(effectsOfKind(effects, 'answer').map((answer) => answer.outcome)).toEqual(['unknown']);
  });

  it('answers a held request not-run when no owner appears in time, with a retry-after time', () => {
    const daemon = new DaemonFixture();
    daemon.state.tables.shards.clear();
    const effects = [...daemon.request(1, 'GET', '/k/a'), ...daemon.advance(2_100)];
    const [answer] = effectsOfKind(effects, 'answer');
    expect(answer?.outcome).toEqual('not-run');
    expect(answer?.retryAfterSeconds).toEqual(1);
  });

  function moveAway(daemon: DaemonFixture): ReturnType<DaemonFixture['advance']> {
    const change = assignmentChange([0, 1, 2, 3].map((unit) => ({ unit, server: 'keyed-2', epoch: 8 })));
    applyChange(daemon.state.tables.shards.get('keyed/0')?.table ?? createOwnershipTable(), change);
    return daemon.advance(60);
  }

  it('does not wait for an unresponsive server once the unit has another owner', () => {
    const daemon = new DaemonFixture();
    daemon.request(1, 'GET', '/k/a');
    const effects = moveAway(daemon);
    expect(effectsOfKind(effects, 'cancel').length).toEqual(1);
    expect(effectsOfKind(effects, 'forward').map((forward) => forward.server)).toEqual(['keyed-2']);
  });

  it('does not retry an unrepeatable request elsewhere while its server may be running it', () => {
    const daemon = new DaemonFixture();
    daemon.request(1, 'POST', '/k/a');
    expect(effectsOfKind(moveAway(daemon), 'forward')).toEqual([]);
  });

  it('forwards a request for a unit of another side to that side once, and not again from there', () => {
    const daemon = new DaemonFixture();
    const change = assignmentChange([0, 1, 2, 3].map((unit) => ({ unit, server: 'side:right', epoch: 8 })));
    applyChange(daemon.state.tables.shards.get('keyed/0')?.table ?? createOwnershipTable(), change);
    const [forward] = effectsOfKind(daemon.request(1, 'GET', '/k/a'), 'forward');
    expect([forward?.address, forward?.toOtherSide, forward?.hops]).toEqual(['10.0.0.9:1', true, 1]);
    const crossed = daemon.request(2, 'GET', '/k/a', { headers: { 'fennelferry-hops': '1' } });
    expect(effectsOfKind(crossed, 'forward')).toEqual([]);
  });

  it('cancels the attempt of a caller that disconnected and releases its place in flight', () => {
    const daemon = new DaemonFixture();
    daemon.request(1, 'GET', '/k/a');
    const effects = daemon.dispatch({ kind: 'callerLeft', requestId: 1 });
    expect(effectsOfKind(effects, 'cancel').length).toEqual(1);
    expect(daemon.state.requests.servers.get('keyed-1')?.inFlight).toEqual(0);
  });

  it('sheds requests as not-run with a retry-after time when a server is overloaded', () => {
    const daemon = new DaemonFixture();
    const answers = [];
    for (let id = 1; id <= 60; id += 1) {
      answers.push(...effectsOfKind(daemon.request(id, 'GET', '/k/a'), 'answer'));
    }
    expect(answers.length > 0).toEqual(true);
    expect(answers.every((answer) => answer.outcome === 'not-run' && answer.retryAfterSeconds === 1)).toEqual(
      true,
    );
  });
});
