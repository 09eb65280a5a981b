/*
 * Servers say in their answers that they leave. While the store was away for 12 s, a server's entry could not say so, and a daemon that had
 * passed on an answer which did went on sending it requests for keys that it owned: 9.4 s and 12.3 s after that answer, where 2 s are
 * allowed. Its log had `server_draining` only at 20.46 s, from the entry; the answer had come at 7.71 s, and nothing read that header.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon } from '../support/single-daemon.js';

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
});
