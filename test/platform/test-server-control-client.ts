import { expect } from 'earl';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ServerControlClient } from '../../platform/server-control-client.js';
import { MutingServer } from '../support/muting-server.js';
import type { ControlEffect } from '../../src/router/effects.js';
import type { LimitReading } from '../../src/router/model/server-limit.js';
import type { ServerNotice } from '../../src/router/model/server-notice.js';
import type { ControlListener } from '../../src/router/ports.js';
import { toAddress } from '../support/addresses.js';

/** Listener for calls whose notices and limits do not matter. */
const IGNORING_LISTENER: ControlListener = { onNotice: () => undefined, onLimitRead: () => undefined };
const EMPTY_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
const LONG_TIMEOUT = 30_000;
const SHORT_TIMEOUT = 60;
const ZERO_TIMEOUT = 0;
const BLOCKED_MILLISECONDS = 20;
const TIMED_OUT_FENCE = 3;
const LATER_FENCE = 7;

let server: Server;
let address: string;
let sockets: Socket[];
let muting: MutingServer | null;

function grant(timeout: number, fence = TIMED_OUT_FENCE): ControlEffect {
  const keys = { from: 0, to: 9, fence, hold: 2_500, handover: null };
  return {
    kind: 'control',
    callId: 1,
    action: 'grant',
    server: 'i-1',
    address: toAddress(address),
    ...keys,
    timeout,
    healthPath: '/h',
  };
}

describe('server control client', () => {
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

  // Without a reset, a grant that timed out during a network partition arrived 6 s later, when the partition healed and the keys
  // already belonged to another server.
  it('resets the connection of a call that timed out, so that the call cannot arrive late', async () => {
    const api = new ServerControlClient();
    const connectionEnd = new Promise<string>((resolve) => {
      server.on('connection', (socket) => {
        socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
        socket.on('end', () => resolve('end'));
        // Responds to the first call, so that the second one finds an open connection even on a busy machine.
        socket.once('data', () => {
          socket.write(EMPTY_RESPONSE);
          socket.resume();
        });
      });
    });
    expect(await api.call(grant(LONG_TIMEOUT), IGNORING_LISTENER)).toEqual({
      kind: 'accepted',
      handover: null,
    });
    // The connection can be reused for the next call one turn of the event loop after its response.
    await new Promise((resolve) => setImmediate(resolve));
    expect((await api.call(grant(SHORT_TIMEOUT), IGNORING_LISTENER)).kind).toEqual('unanswered');
    expect(await connectionEnd).toEqual('ECONNRESET');
    api.close();
  });

  // On a busy machine a call may time out while its connection is being established. No part of the call may be written once the
  // connection is open.
  it('never writes a call that timed out before its connection was established', async () => {
    const api = new ServerControlClient();
    let received = '';
    server.on('connection', (socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString('latin1');
        socket.write(EMPTY_RESPONSE);
      });
    });
    const timedOut = api.call(grant(ZERO_TIMEOUT, TIMED_OUT_FENCE), IGNORING_LISTENER);
    blockLoop();
    expect((await timedOut).kind).toEqual('unanswered');
    // A later call is written after any data that the first one could have left behind.
    expect(await api.call(grant(LONG_TIMEOUT, LATER_FENCE), IGNORING_LISTENER)).toEqual({
      kind: 'accepted',
      handover: null,
    });
    expect(received.includes(`"fence":${LATER_FENCE}`)).toEqual(true);
    expect(received.includes(`"fence":${TIMED_OUT_FENCE}`)).toEqual(false);
    api.close();
  });

  // After three consecutive calls without a response a server counts as unresponsive, and its keys are moved.
  it('has only one call time out, not one per connection, when all open connections become unresponsive', async () => {
    const connections = 6;
    muting = await MutingServer.start((socket) => void socket.write(EMPTY_RESPONSE));
    address = muting.address;
    const api = new ServerControlClient();
    muting.holdResponsesUntil(connections);
    await Promise.all(
      Array.from({ length: connections }, () => api.call(grant(LONG_TIMEOUT), IGNORING_LISTENER)),
    );
    expect(muting.connections).toEqual(connections);
    await new Promise((resolve) => setImmediate(resolve));
    muting.muteUsedConnections();
    expect((await api.call(grant(SHORT_TIMEOUT), IGNORING_LISTENER)).kind).toEqual('unanswered');
    expect((await api.call(grant(1_000), IGNORING_LISTENER)).kind).toEqual('accepted');
    api.close();
  });

  it('passes the notice and the limit in the response to a call or a probe to the listener', async () => {
    const head = 'Server-Leaving: 1\r\nRetry-After: 2\r\nServer-Limit: 3.2\r\nContent-Length: 0\r\n';
    server.on('connection', (socket) =>
      socket.on('data', () => socket.write(`HTTP/1.1 503 Full\r\n${head}\r\n`)),
    );
    const api = new ServerControlClient();
    const notices: ServerNotice[] = [];
    const limits: LimitReading[] = [];
    const listener: ControlListener = {
      onNotice: (notice) => notices.push(notice),
      onLimitRead: (limit) => limits.push(limit),
    };
    await api.call(grant(LONG_TIMEOUT), listener);
    await api.call({ ...grant(LONG_TIMEOUT), action: 'probe' }, listener);
    expect(limits).toEqual([3.2, 3.2]);
    expect(notices).toEqual([
      { leaving: true, rest: 2_000 },
      { leaving: true, rest: 2_000 },
    ]);
    api.close();
  });

  // The leader asks the server that refused to release the keys, which it can do at once only if it knows the name.
  it('states the name of a server that refuses a call for another one, if the response has it', async () => {
    for (const [header, instance] of [
      ['Fennelferry-Instance-Id: i-2\r\n', 'i-2'],
      ['', null],
    ]) {
      server.removeAllListeners('connection');
      server.on('connection', (socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () =>
          socket.write(`HTTP/1.1 421 Misdirected Request\r\n${header}Content-Length: 0\r\n\r\n`),
        );
      });
      const api = new ServerControlClient();
      expect(await api.call(grant(LONG_TIMEOUT), IGNORING_LISTENER)).toEqual({
        kind: 'otherInstance',
        instance: instance as string | null,
      });
      api.close();
    }
  });
});
/** Blocks the event loop, so that a timer that is due runs before the loop detects that a connection is established. */
function blockLoop(): void {
  const until = performance.now() + BLOCKED_MILLISECONDS;
  while (performance.now() < until);
}
