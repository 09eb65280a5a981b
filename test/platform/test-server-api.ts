import { expect } from 'earl';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ServerApi } from '../../platform/server-api.js';
import type { ControlEffect } from '../../src/router/effects.js';

let server: Server;
let address: string;
let sockets: Socket[];

function grant(patience: number): ControlEffect {
  const keys = { from: 0, to: 9, fence: 3, hold: 2_500, handover: null };
  return {
    kind: 'control',
    callId: 1,
    action: 'grant',
    server: 'i-1',
    address,
    ...keys,
    patience,
    healthPath: '/h',
  };
}

describe('calls to servers', () => {
  beforeEach(async () => {
    sockets = [];
    server = createServer((socket) => sockets.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
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
        socket.resume();
      });
    });
    const outcome = await api.call(grant(60));
    expect(outcome.kind).toEqual('unanswered');
    expect(await ended).toEqual('ECONNRESET');
    api.close();
  });
});
