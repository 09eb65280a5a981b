/*
 * Servers say in their answers that they leave. While the store was away for 12 s, a server's entry could not say so, and a daemon that had
 * passed on an answer which did went on sending it requests for keys that it owned: 9.4 s and 12.3 s after that answer, where 2 s are
 * allowed. Its log had `server_draining` only at 20.46 s, from the entry; the answer had come at 7.71 s, and nothing read that header.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { server, SingleDaemon } from '../support/single-daemon.js';

const KEY = 7;
const LEAVING = { leaving: true, rest: null };

/** Servers that requests were sent to. */
function sentTo(daemon: SingleDaemon): string[] {
  return daemon.only('forward').map(({ server }) => server);
}

describe('a server that says in an answer that it leaves', () => {
  it('gets no request for its keys after the time that leaving servers may still get work', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: LEAVING });
    daemon.ticksUntil(daemon.now + daemon.state.bounds.drain);
    daemon.arrive(1, '/rack/1', 900, KEY);
    expect(sentTo(daemon)).toEqual([]);
  });

  it('gets no other request while others can take it', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'serverNoticed', server: 's1', notice: LEAVING });
    daemon.event({ kind: 'serverNoticed', server: 's2', notice: LEAVING });
    for (let request = 1; request <= 4; request += 1) {
      daemon.arrive(request, '/read/1');
    }
    expect([...new Set(sentTo(daemon))]).toEqual(['s3']);
  });

  it('gets work for a part of the allowed time while all servers of its service leave at once', () => {
    const daemon = new SingleDaemon();
    for (const server of ['s1', 's2', 's3']) {
      daemon.event({ kind: 'serverNoticed', server, notice: LEAVING });
    }
    daemon.arrive(1, '/read/1');
    expect(sentTo(daemon).length).toEqual(1);
    daemon.ticksUntil(daemon.now + daemon.state.bounds.drain);
    daemon.arrive(2, '/read/1');
    daemon.ticksUntil(daemon.now + 1_000);
    expect(sentTo(daemon).length).toEqual(1);
    expect(daemon.only('answer').at(-1)?.status).toEqual(503);
  });

  it('is not taken back by an entry, by later answers or by a later word of others, and is said once', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'serverNoticed', server: 's1', notice: LEAVING });
    const saidAt = daemon.now;
    daemon.ticksUntil(saidAt + 500);
    daemon.event({ kind: 'serverNoticed', server: 's1', notice: LEAVING });
    const entry = { ...server('s1'), revision: 7 };
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's1', server: entry }], revision: 7 });
    daemon.event({ kind: 'serversListed', servers: [entry, server('s2'), server('s3')], revision: 8 });
    const news = { kind: 'leavingNews', servers: [{ server: 's1', age: 100 }] } as const;
    daemon.event({ kind: 'peerMessage', link: -1, message: { ...news, servers: [...news.servers] } });
    const draining = { ...entry, draining: true, revision: 9 };
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's1', server: draining }], revision: 9 });
    expect(daemon.state.servers.get('s1')?.drainingSince).toEqual(saidAt);
    expect(daemon.only('log').filter(({ event }) => event === 'server_says_leaving').length).toEqual(1);
  });

  it('counts from an earlier moment that another daemon tells', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'serverNoticed', server: 's1', notice: LEAVING });
    const servers = [{ server: 's1', age: 800 }];
    daemon.event({ kind: 'peerMessage', link: -1, message: { kind: 'leavingNews', servers } });
    expect(daemon.state.servers.get('s1')?.drainingSince).toEqual(daemon.now - 800);
  });

  it('is remembered while its entry lapses', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'serverNoticed', server: 's1', notice: LEAVING });
    const saidAt = daemon.now;
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's1', server: null }], revision: 7 });
    daemon.ticksUntil(saidAt + 500);
    const entry = { ...server('s1'), revision: 8 };
    daemon.event({ kind: 'serversChanged', changes: [{ id: 's1', server: entry }], revision: 8 });
    expect(daemon.state.servers.get('s1')?.drainingSince).toEqual(saidAt);
  });

  it('has requests for its keys refused at once when they have not moved by the bound', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: LEAVING });
    daemon.ticksUntil(daemon.now + daemon.state.bounds.drain + 40);
    daemon.arrive(1, '/rack/1', 900, KEY);
    expect(daemon.only('answer').map(({ status }) => status)).toEqual([503]);
  });
});
