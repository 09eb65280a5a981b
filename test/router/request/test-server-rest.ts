/*
 * Servers that reject requests may say for how long they want none. Four owners of keys rejected everything for 9 s and asked for 3 s of rest
 * each time; daemons went on sending, up to 13 requests in such a time, where 2 are allowed: 1,060 attempts in vain, most of them in pairs,
 * `rejected 503 after 2 ms` twice in one line. The time was not read, and requests for keys ignored even the 40 ms for which full servers are spared.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon } from '../support/single-daemon.js';

const KEY = 7;
const REST = 3_000;
/** What was on its way may still arrive for so long. */
const ON_ITS_WAY = 500;
const ASKS_REST = { leaving: false, rest: REST };

describe('a server that asks for rest', () => {
  it('gets no request for its keys in all that time, and callers hear how long it lasts', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: ASKS_REST });
    daemon.ticksUntil(daemon.now + ON_ITS_WAY);
    daemon.arrive(1, '/rack/1', 900, KEY);
    daemon.ticksUntil(daemon.now + REST - ON_ITS_WAY - 40);
    daemon.arrive(2, '/rack/1', 900, KEY);
    expect(daemon.only('forward')).toEqual([]);
    const [first] = daemon.only('answer');
    expect(first?.status).toEqual(503);
    expect((first?.retryAfter ?? 0) >= REST - ON_ITS_WAY).toEqual(true);
  });
});
