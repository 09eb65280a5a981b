import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { PROCESS_TIMERS } from '../../src/router-runtime/timers.js';
import { FrontendFixture, get, pause, until } from '../support/frontend-fixture.js';
import { RawServer } from '../support/raw-server.js';

/** Delays beyond the longest timer of the process. */
const LONG_DELAYS = [2 ** 31, 2 ** 32 + 1, 1e15, 1e308, Number.POSITIVE_INFINITY];
const SHORT = 30;
const TIMEOUT = 2_000;

/** Returns the answer to a request, which names the same attempt. */
function answerTo(head: string): string {
  const [id = ''] = /Fennelferry-Attempt-Id: \S+/i.exec(head) ?? [];
  return `HTTP/1.1 200 OK\r\n${id}\r\nFennelferry-Server-Seal: s.1\r\nContent-Length: 2\r\n\r\nok`;
}

let fixture: FrontendFixture | undefined;
let server: RawServer | undefined;

afterEach(async () => {
  fixture?.close();
  await server?.close();
});

describe('a timer', () => {
  // Guards against timers that run at once because their delay is longer than a timer of the process can be.
  it('does not fire at once when its delay is very long', async () => {
    const fired: number[] = [];
    const cancels = LONG_DELAYS.map((delay) => PROCESS_TIMERS.after(delay, () => fired.push(delay)));
    await pause(SHORT);
    cancels.forEach((cancel) => cancel());
    expect(fired).toEqual([]);
  });
});

describe('callers', () => {
  // Guards against the end of the process at an answer, because a configured timeout is no time that a socket takes.
  it('are answered whatever timeouts are configured', async () => {
    server = await RawServer.start((socket, head) => socket.write(answerTo(head)));
    fixture = await FrontendFixture.start(server.address);
    for (const timeout of LONG_DELAYS) {
      const limits = { headerBytes: 16_384, bodyBytes: 65_536, headerTimeout: timeout, idleTimeout: timeout };
      fixture.frontend.applyLimits(limits);
      const caller = fixture.connect();
      caller.socket.write(get('a'));
      expect(await until(() => caller.statuses.length === 1, TIMEOUT)).toEqual(true);
      await pause(SHORT);
      caller.socket.write(get('b'));
      expect(await until(() => caller.statuses.length === 2, TIMEOUT)).toEqual(true);
    }
  });
});
