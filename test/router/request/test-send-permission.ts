import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import { isSendAllowed } from '../../../src/router/request/send-permission.js';
import { describeServer, SingleDaemon } from '../support/single-daemon.js';

let daemon: SingleDaemon;

function isAllowed(at = daemon.now): boolean {
  return isSendAllowed(daemon.state, at, 's1');
}

describe('the permission to write a request to its server', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
    daemon.tickUntil(daemon.now + 100);
  });

  it('ends when the data gets too old while a connection opens', () => {
    const { drain } = daemon.state.bounds;
    expect(isAllowed()).toEqual(true);
    expect(isAllowed(daemon.now + 0.75 * drain)).toEqual(true);
    expect(isAllowed(daemon.now + 0.85 * drain)).toEqual(false);
  });

  it('ends before a server that began to drain meanwhile must get no more requests', () => {
    const changes = [{ id: 's1', server: { ...describeServer('s1'), draining: true, revision: 9 } }];
    const { drain } = daemon.state.bounds;
    const confirmedAt = daemon.now;
    daemon.event({ kind: 'serversChanged', changes, revision: 9 });
    daemon.tickUntil(confirmedAt + 0.7 * drain);
    expect(isAllowed()).toEqual(true);
    daemon.tickUntil(confirmedAt + 0.85 * drain);
    expect(isAllowed()).toEqual(false);
  });

  it('ends when the server is no longer listed', () => {
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's1', server: null }], revision: 9 });
    expect(isAllowed()).toEqual(false);
  });

  it('ends before servers of an evacuated zone must get no more requests', () => {
    const { evacuation } = daemon.state.bounds;
    const confirmedAt = daemon.now;
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 9 });
    daemon.tickUntil(confirmedAt + 0.7 * (evacuation ?? 0));
    expect(isAllowed()).toEqual(true);
    daemon.tickUntil(confirmedAt + 0.85 * (evacuation ?? 0));
    expect(isAllowed()).toEqual(false);
  });
});

describe('a request that was not written after all', () => {
  it('is sent to another server at once, and its server may be chosen again', () => {
    daemon = new SingleDaemon();
    daemon.receiveRequest(1, '/read/1');
    const [first] = daemon.effectsOfKind('forward');
    daemon.ended(1, first?.attempt ?? 0, { kind: 'withheld' });
    const forwards = daemon.effectsOfKind('forward');
    expect(forwards.length).toEqual(2);
    const known = daemon.state.servers.get(first?.server ?? '');
    expect(known?.load.failures).toEqual(0);
    expect(daemon.state.requests.get(1)?.attempts).toEqual(1);
    expect(daemon.state.counters.writes_withheld).toEqual(1);
  });
});
