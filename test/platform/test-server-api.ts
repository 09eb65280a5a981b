import { expect } from 'earl';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ServerApi } from '../../platform/server-api.js';
import { MutingServer } from '../support/muting-server.js';
import type { ControlEffect } from '../../src/router/effects.js';
import type { LimitReading } from '../../src/router/model/server-limit.js';
import type { ServerNotice } from '../../src/router/model/server-notice.js';
import type { ControlListener } from '../../src/router/ports.js';

/** For calls whose answers' notices don't matter. */
const IGNORE: ControlListener = { onNotice: () => undefined, onLimitRead: () => undefined };
const EMPTY_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
const LONG_PATIENCE = 30_000;
const SHORT_PATIENCE = 60;
const NO_PATIENCE = 0;
const BLOCKED_MILLISECONDS = 20;
const GIVEN_UP_FENCE = 3;
const LATER_FENCE = 7;

let server: Server;
let address: string;
let sockets: Socket[];
let muting: MutingServer | null;

function grant(patience: number, fence = GIVEN_UP_FENCE): ControlEffect {
  const keys = { from: 0, to: 9, fence, hold: 2_500, handover: null };
  return {
    kind: 'control',
    callId: 1,
    action: 'grant',
    server: 'i-1',
    address,
    ...keys,
    timeout: patience,
    healthPath: '/h',
  };
}

describe('calls to servers', () => {
  beforeEach(async () => {
    sockets = [];
    muting = null;
    server = createServer((socket) => sockets.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(async () => {
    await muting?.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  // Found by a day of our own: a grant that had timed out behind a partition arrived 6 s later, when the
  // partition healed, after the keys had gone to another server.
  it('resets the connection of a call that is given up, so that it cannot arrive late', async () => {
    const api = new ServerApi();
    const ended = new Promise<string>((resolve) => {
      server.on('connection', (socket) => {
        socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
        socket.on('end', () => resolve('end'));
        // The first call is answered: the second finds an open connection, however busy the machine is.
        socket.once('data', () => {
          socket.write(EMPTY_ANSWER);
          socket.resume();
        });
      });
    });
    expect(await api.call(grant(LONG_PATIENCE), IGNORE)).toEqual({ kind: 'accepted', handover: null });
    // The connection is at rest again, and taken for the next call, a turn of the loop after its answer.
    await new Promise((resolve) => setImmediate(resolve));
    expect((await api.call(grant(SHORT_PATIENCE), IGNORE)).kind).toEqual('unanswered');
    expect(await ended).toEqual('ECONNRESET');
    api.close();
  });

  // Beside load a call may be given up while its connection is still opening: then none of it may be written once
  // the connection stands.
  it('never writes a call that was given up before its connection stood', async () => {
    const api = new ServerApi();
    let received = '';
    server.on('connection', (socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString('latin1');
        socket.write(EMPTY_ANSWER);
      });
    });
    const givenUp = api.call(grant(NO_PATIENCE, GIVEN_UP_FENCE), IGNORE);
    blockLoop();
    expect((await givenUp).kind).toEqual('unanswered');
    // A later call is written after all that the first one could have left behind.
    expect(await api.call(grant(LONG_PATIENCE, LATER_FENCE), IGNORE)).toEqual({
      kind: 'accepted',
      handover: null,
    });
    expect(received.includes(`"fence":${LATER_FENCE}`)).toEqual(true);
    expect(received.includes(`"fence":${GIVEN_UP_FENCE}`)).toEqual(false);
    api.close();
  });

  // Three calls in a row without an answer make a server count as silent, and its keys move.
  it('lose one time-out, and not one for each connection, when connections to a server go silent', async () => {
    const connections = 6;
    muting = await MutingServer.start((socket) => void socket.write(EMPTY_ANSWER));
    address = muting.address;
    const api = new ServerApi();
    muting.holdUntil(connections);
    await Promise.all(Array.from({ length: connections }, () => api.call(grant(LONG_PATIENCE), IGNORE)));
    expect(muting.connections).toEqual(connections);
    await new Promise((resolve) => setImmediate(resolve));
    muting.mute();
    expect((await api.call(grant(SHORT_PATIENCE), IGNORE)).kind).toEqual('unanswered');
    expect((await api.call(grant(1_000), IGNORE)).kind).toEqual('accepted');
    api.close();
  });

  it('tells what the answer to a call or a probe says of the server', async () => {
    const head = 'Server-Leaving: 1\r\nRetry-After: 2\r\nServer-Limit: 3.2\r\nContent-Length: 0\r\n';
    server.on('connection', (socket) =>
      socket.on('data', () => socket.write(`HTTP/1.1 503 Full\r\n${head}\r\n`)),
    );
    const api = new ServerApi();
    const notices: ServerNotice[] = [];
    const limits: LimitReading[] = [];
    const listener: ControlListener = {
      onNotice: (notice) => notices.push(notice),
      onLimitRead: (limit) => limits.push(limit),
    };
    await api.call(grant(LONG_PATIENCE), listener);
    await api.call({ ...grant(LONG_PATIENCE), action: 'probe' }, listener);
    expect(limits).toEqual([3.2, 3.2]);
    expect(notices).toEqual([
      { leaving: true, rest: 2_000 },
      { leaving: true, rest: 2_000 },
    ]);
    api.close();
  });
});
/** Keeps the loop busy, so that a timer that is due runs before a connection that has come up is noticed. */
function blockLoop(): void {
  const until = performance.now() + BLOCKED_MILLISECONDS;
  while (performance.now() < until);
}
