import { expect } from 'earl';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { StoreClient } from '../../src/runtime/store-client.js';
import { MutingServer } from '../support/muting-server.js';

const OBJECT = JSON.stringify({ version: 3, value: '{}', writeId: 'w' });
const ANSWER = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${OBJECT.length}\r\n\r\n${OBJECT}`;
/** As many as a daemon keeps. */
const CONNECTIONS = 4;
const READ = { kind: 'readObject', name: 'routing', afterVersion: null } as const;

let server: MutingServer;
let client: StoreClient;

describe('the client of the store', () => {
  beforeEach(async () => {
    server = await MutingServer.start((socket) => void socket.write(ANSWER));
    client = new StoreClient(`http://${server.address}`);
  });

  afterEach(async () => {
    client.close();
    await server.close();
  });

  // Each open connection that had gone silent cost one more call its time-out of 3 s.
  it('loses one time-out, and not one for each connection, when connections go silent', async () => {
    server.holdResponsesUntil(CONNECTIONS);
    const reads = Array.from({ length: CONNECTIONS }, () => client.read(READ));
    expect((await Promise.all(reads)).every(({ result }) => result !== null)).toEqual(true);
    await new Promise((resolve) => setImmediate(resolve));
    server.muteUsedConnections();
    expect((await client.read(READ)).result).toEqual(null);
    expect((await client.read(READ)).result).not.toEqual(null);
  });

  // A watch that the store got while it was away is never answered, and was waited for for 11 s.
  it('asks a watch to wait for a second at most', async () => {
    await client.read({ ...READ, afterVersion: 3 });
    const wait = /[?&]wait=(\d+)/.exec(server.requests[0] ?? '')?.[1];
    expect(Number(wait) <= 1_000).toEqual(true);
  });
});
