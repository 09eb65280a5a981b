import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { ServerDescription } from '../../../src/router/model/server.js';
import { toServerChange } from '../../../src/router/server-directory.js';
import { describeServer, SingleDaemon } from '../support/single-daemon.js';

let daemon: SingleDaemon;

/** Send windows at a cold server that one daemon has in a second, when there may be 16 daemons. */
const MAX_COLD_REQUESTS = 1;

function listServers(servers: readonly ServerDescription[], revision: number): void {
  daemon.event({ kind: 'serversChanged', changes: servers.map(toServerChange), revision });
}

/** Sends a request with each tick, all of which are answered at once, and returns how many reach a server. */
function countForwards(server: string, time: number): number {
  const end = daemon.now + time;
  for (let requestId = 1; daemon.now < end; requestId += 1) {
    const { length } = daemon.effectsOfKind('forward');
    daemon.receiveRequest(requestId, `/read/${requestId}`);
    for (const sent of daemon.effectsOfKind('forward').slice(length)) {
      daemon.ended(sent.requestId, sent.attempt, { kind: 'answered', status: 200, load: null });
    }
    daemon.tickUntil(daemon.now + 1);
  }
  return daemon.effectsOfKind('forward').filter((sent) => sent.server === server).length;
}

describe('requests while a zone is evacuated or cold', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
  });

  it('sends nothing to servers of an evacuated zone, and refuses requests with that reason when there is no other server', () => {
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 6 });
    daemon.receiveRequest(1, '/read/1');
    daemon.tickUntil(1_300);
    expect(daemon.effectsOfKind('forward')).toEqual([]);
    expect(daemon.effectsOfKind('answer')[0]?.status).toEqual(503);
    expect(daemon.effectsOfKind('answer')[0]?.reason).toEqual(
      'no server outside of evacuated zones takes requests',
    );
    daemon.event({ kind: 'evacuationsChanged', changes: [{ zone: 'z', evacuated: false }], revision: 7 });
    daemon.tickUntil(daemon.now + 3_100);
    daemon.receiveRequest(2, '/read/2');
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
  });

  it('sends to an owner of keys in an evacuated zone for a part of the allowed time only', () => {
    daemon.own('s9');
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 7 });
    daemon.receiveRequest(1, '/rack/1', 900, 5);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    daemon.tickUntil(daemon.now + 2_600);
    daemon.receiveRequest(2, '/rack/1', 900, 5);
    daemon.tickUntil(daemon.now + 300);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
    expect(daemon.effectsOfKind('answer').at(-1)?.reason).toEqual('the zone of the owner s9 is evacuated');
  });

  it('treats the servers of a restored zone as cold', () => {
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 6 });
    daemon.event({ kind: 'evacuationsListed', zones: [], revision: 7 });
    expect(
      [...daemon.state.servers.values()].every(({ coldUntil }) => coldUntil === daemon.now + 3_000),
    ).toEqual(true);
  });

  // Guards against a warm server that is cold: its entry was written before it turned cold, came after the end of the
  // evacuation, and gave it the full rate.
  it('treats the servers of a restored zone as cold although entries that were delayed say that they are warm', () => {
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 6 });
    daemon.event({ kind: 'evacuationsListed', zones: [], revision: 7 });
    daemon.tickUntil(daemon.now + 300);
    listServers([{ ...describeServer('s1'), revision: 8 }], 8);
    expect(countForwards('s1', 1_000) <= MAX_COLD_REQUESTS).toEqual(true);
  });

  it('treats a server of a restored zone as cold when it is listed again', () => {
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 6 });
    daemon.event({ kind: 'evacuationsListed', zones: [], revision: 7 });
    const restoredAt = daemon.now;
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's1', server: null }], revision: 8 });
    daemon.tickUntil(daemon.now + 300);
    listServers([{ ...describeServer('s1'), revision: 9 }], 9);
    expect(daemon.state.servers.get('s1')?.coldUntil).toEqual(restoredAt + 3_000);
  });

  it('treats a server of a restored zone as cold for longer when its entry says so', () => {
    daemon.event({ kind: 'evacuationsListed', zones: ['z'], revision: 6 });
    daemon.event({ kind: 'evacuationsListed', zones: [], revision: 7 });
    listServers([{ ...describeServer('s1'), warmupLeft: 5_000, revision: 8 }], 8);
    expect(daemon.state.servers.get('s1')?.coldUntil).toEqual(daemon.now + 5_000);
    daemon.tickUntil(daemon.now + 3_100);
    listServers([{ ...describeServer('s1'), revision: 9 }], 9);
    expect(daemon.state.servers.get('s1')?.coldUntil).toEqual(daemon.now);
  });

  it('treats a server as cold when its entry says so again', () => {
    const changes = [{ id: 's1', server: { ...describeServer('s1'), warmupLeft: 2_000, revision: 9 } }];
    daemon.event({ kind: 'serversChanged', changes, revision: 9 });
    expect(daemon.state.servers.get('s1')?.coldUntil).toEqual(daemon.now + 2_000);
    const later = [{ id: 's1', server: { ...describeServer('s1'), warmupLeft: 0, revision: 10 } }];
    daemon.event({ kind: 'serversChanged', changes: later, revision: 10 });
    expect(daemon.state.servers.get('s1')?.coldUntil).toEqual(daemon.now);
  });
});
