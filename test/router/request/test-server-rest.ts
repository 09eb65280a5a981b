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

  it('gets no other request in all that time, though no other server is left', () => {
    const daemon = new SingleDaemon();
    for (const server of ['s1', 's2', 's3']) {
      daemon.event({ kind: 'serverNoticed', server, notice: ASKS_REST });
    }
    daemon.ticksUntil(daemon.now + REST - 40);
    daemon.arrive(1, '/read/1');
    expect(daemon.only('forward')).toEqual([]);
  });

  it('rests as long as its longest word says', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: ASKS_REST });
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: { leaving: false, rest: 200 } });
    daemon.ticksUntil(daemon.now + REST - 40);
    daemon.arrive(1, '/rack/1', 900, KEY);
    expect(daemon.only('forward')).toEqual([]);
  });

  it('leaves its share to the others', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'serverNoticed', server: 's1', notice: ASKS_REST });
    daemon.arrive(1, '/read/1');
    daemon.arrive(2, '/read/1');
    expect(daemon.only('forward').map(({ server }) => server)).not.toInclude('s1');
    expect(daemon.only('forward').length).toEqual(2);
  });

  it('gets one request at a time after its rest, until it has answered one', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: ASKS_REST });
    daemon.ticksUntil(daemon.now + REST + 20);
    daemon.arrive(1, '/rack/1', 900, KEY);
    daemon.arrive(2, '/rack/1', 900, KEY);
    expect(daemon.only('forward').length).toEqual(1);
    daemon.now += 20;
    daemon.ended(1, 1, { kind: 'answered', status: 200, load: null });
    daemon.ticksUntil(daemon.now + 40);
    expect(daemon.only('forward').length).toEqual(2);
    expect(daemon.state.servers.get('s4')?.rest.allows(2, daemon.now)).toEqual(true);
  });

  it('takes back what has not been sent to it, and does not send that again', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.arrive(1, '/rack/1', 900, KEY);
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: ASKS_REST });
    expect(daemon.only('withdraw')).toEqual([{ kind: 'withdraw', requestId: 1, attempt: 1 }]);
    daemon.ended(1, 1, { kind: 'notSent', reason: 'withdrawn', refused: false });
    daemon.ticksUntil(daemon.now + 100);
    expect(daemon.only('forward').length).toEqual(1);
    expect(daemon.only('answer').map(({ status }) => status)).toEqual([503]);
  });

  it('has callers come back at different times, none before its end', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: ASKS_REST });
    for (let request = 1; request <= 20; request += 1) {
      daemon.arrive(request, '/rack/1', 900, KEY);
    }
    const times = daemon.only('answer').map(({ retryAfter }) => retryAfter ?? 0);
    expect(new Set(times).size).toEqual(20);
    expect(times.every((time) => time >= REST)).toEqual(true);
  });

  it('may rest without an end in sight', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'serverNoticed', server: 's1', notice: { leaving: false, rest: 1e12 } });
    daemon.ticksUntil(daemon.now + 60_000);
    for (let request = 1; request <= 6; request += 1) {
      daemon.arrive(request, '/read/1');
      daemon.ended(request, 1, { kind: 'answered', status: 200, load: null });
    }
    expect(daemon.only('forward').length).toEqual(6);
    expect(daemon.only('forward').map(({ server }) => server)).not.toInclude('s1');
  });

  it('tells callers an hour at most', () => {
    const daemon = new SingleDaemon();
    daemon.own('s4');
    const endless = { leaving: false, rest: Number.POSITIVE_INFINITY };
    daemon.event({ kind: 'serverNoticed', server: 's4', notice: endless });
    daemon.arrive(1, '/rack/1', 900, KEY);
    const hours = (daemon.only('answer')[0]?.retryAfter ?? 0) / 3_600_000;
    expect(hours >= 1 && hours <= 1.25).toEqual(true);
  });

  it('is said once a rest, and a time that cannot be read once a service', () => {
    const daemon = new SingleDaemon();
    const unreadable = { leaving: false, rest: { unreadable: 'soon' } };
    for (const server of ['s1', 's1', 's2']) {
      daemon.event({ kind: 'serverNoticed', server, notice: ASKS_REST });
      daemon.event({ kind: 'serverNoticed', server, notice: unreadable });
    }
    const events = daemon.only('log').map(({ event }) => event);
    expect(events.filter((event) => event === 'server_asks_rest').length).toEqual(2);
    expect(events.filter((event) => event === 'malformed_rest_request').length).toEqual(1);
    expect(daemon.state.counters.rest_requests).toEqual(3);
    expect(daemon.state.counters.malformed_rest_requests).toEqual(3);
  });
});
