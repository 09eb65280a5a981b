import { expect } from 'earl';
import { describe, it } from 'node:test';
import { createCounters } from '../../src/core/counters.js';
import type { Envelope } from '../../src/core/messages.js';
import { PeerTransport } from '../../src/runtime/peer-transport.js';
import { ServerClient } from '../../src/runtime/server-client.js';
import { isAddress } from '../../src/settings/address.js';

const NO_ADDRESS = '127.0.0.1:65536';

describe('an address that is none', () => {
  // The exception ended the daemon.
  it('loses the message of a daemon whose peer states it', () => {
    const peers = new PeerTransport(createCounters(), {
      onEnvelope: () => undefined,
      onMalformed: () => undefined,
    });
    peers.send(NO_ADDRESS, { from: 'd1', message: { kind: 'ping' } } as unknown as Envelope);
    peers.close();
  });

  it('fails the request to a server that is listed with it', async () => {
    const servers = new ServerClient();
    await expect(servers.request(NO_ADDRESS, 1, { method: 'GET', path: '/' })).toBeRejected();
    servers.close();
  });

  it('is rejected in settings and configurations', () => {
    const texts = [
      NO_ADDRESS,
      '999.1.1.1:80',
      '10.0.0.1',
      '::1:80',
      '[::g]:80',
      '10.0.0.1:',
      'a:80',
      ':80',
      '',
    ];
    expect(texts.filter(isAddress)).toEqual([]);
    expect(['10.0.0.1:80', '[::1]:65535', '127.0.0.1:0'].every(isAddress)).toEqual(true);
  });
});
