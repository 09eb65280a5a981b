/*
 * A request that several servers could run waited for a permit for the one with a limit, since it seemed quickest. When the daemon that grants permits
 * was gone, none came, and the request waited for 63 of the 88 ms that it may be held, with the other servers open all the time.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon } from '../support/single-daemon.js';

const PARENT = '10.0.0.8:1';
const TICK = 20;
/** An answer of the leader takes a few milliseconds. */
const SOON = 2 * TICK;
const BUSY = { running: 1, waiting: 0, slots: 2, slowdown: 2 };

/** The leader, which is the parent, is there. */
function hearLeader(daemon: SingleDaemon): void {
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
    daemons: 5,
    configurationVersion: 1,
    serversRevision: 1,
    evacuations: null,
  } as const;
  daemon.event({ kind: 'peerMessage', link: 0, message: { ...message, watchers: [] } });
  daemon.state.tree.parent = PARENT;
}

/** A daemon with a parent; one server of three names a limit and has nothing else to do. */
function startLimited(): SingleDaemon {
  const daemon = new SingleDaemon();
  hearLeader(daemon);
  for (const id of ['s2', 's3']) {
    daemon.state.servers.get(id)?.load.report(BUSY, daemon.now);
  }
  const sentAt = daemon.now - 1;
  daemon.event({ kind: 'serverLimitRead', server: 's1', reading: 3, sentAt });
  daemon.effects = [];
  return daemon;
}

/** Time passes; the parent is there and doesn't answer. */
function wait(daemon: SingleDaemon, length: number): void {
  const end = daemon.now + length;
  while (daemon.now < end) {
    hearLeader(daemon);
    daemon.ticksUntil(daemon.now + TICK);
  }
}

describe('a permit that does not come', () => {
  it('is not waited for while another server is open', () => {
    const daemon = startLimited();
    daemon.arrive(1, '/read/a');
    expect(daemon.only('forward')).toEqual([]);
    expect(daemon.only('sendToParent').at(-1)?.message.kind).toEqual('permitAsk');
    wait(daemon, SOON);
    expect(daemon.only('forward').map(({ server }) => server === 's1')).toEqual([false]);
    expect(daemon.only('answer')).toEqual([]);
  });

  it('is waited for where every server names a limit, and asked for once', () => {
    const daemon = startLimited();
    for (const server of ['s2', 's3']) {
      daemon.event({ kind: 'serverLimitRead', server, reading: 3, sentAt: daemon.now - 1 });
    }
    daemon.effects = [];
    daemon.arrive(1, '/read/a');
    wait(daemon, 60);
    const asks = daemon.only('sendToParent').filter(({ message }) => message.kind === 'permitAsk');
    expect(asks.length).toEqual(1);
    expect(daemon.only('answer')).toEqual([]);
  });

  it('sends its request at once when it comes', () => {
    const daemon = startLimited();
    daemon.arrive(1, '/read/a');
    const message = {
      kind: 'permitAnswer',
      server: 's1',
      requestId: 1,
      priority: 1,
      granted: true,
      nextPlaceIn: 0,
      path: [],
    } as const;
    daemon.event({ kind: 'peerMessage', link: 0, message });
    expect(daemon.only('forward').map(({ server }) => server)).toEqual(['s1']);
  });
});
