import { expect } from 'earl';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { StoreClient } from '../../src/runtime/store-client.js';
import { MutingServer } from '../support/muting-server.js';

const OBJECT = JSON.stringify({ version: 3, value: '{}', writeId: 'w' });
const ANSWER = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${OBJECT.length}\r\n\r\n${OBJECT}`;
/** The number of connections to the store that a daemon keeps open. */
const CONNECTIONS = 4;
const READ = { kind: 'readObject', name: 'routing', afterVersion: null } as const;

let server: MutingServer;
let client: StoreClient;

describe('store client', () => {
  beforeEach(async () => {
    server = await MutingServer.start((socket) => void socket.write(ANSWER));
    client = new StoreClient(`http://${server.address}`);
  });

  afterEach(async () => {
    client.close();
    await server.close();
  });

  // Without replacement of the whole pool after a timeout, each unresponsive connection costs another
  // call its timeout of 3 s.
  it('loses one call to a timeout, not one for each connection, when connections become unresponsive', async () => {
    server.holdResponsesUntil(CONNECTIONS);
    const reads = Array.from({ length: CONNECTIONS }, () => client.read(READ));
    expect((await Promise.all(reads)).every(({ result }) => result !== null)).toEqual(true);
    await new Promise((resolve) => setImmediate(resolve));
    server.muteUsedConnections();
    expect((await client.read(READ)).result).toEqual(null);
    expect((await client.read(READ)).result).not.toEqual(null);
  });

  // The store never responds to a watch that it received during an outage; a long watch then waited 11 s for
  // a response.
  it('asks the store to hold a watch for at most 1 s', async () => {
    await client.read({ ...READ, afterVersion: 3 });
    const wait = /[?&]wait=(\d+)/.exec(server.requests[0] ?? '')?.[1];
    expect(Number(wait) <= 1_000).toEqual(true);
  });
});
