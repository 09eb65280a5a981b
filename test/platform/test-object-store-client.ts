import { expect } from 'earl';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import { MutingServer } from '../support/muting-server.js';

const OBJECT_JSON = JSON.stringify({ metadata: { name: 'main', revision: 5 }, spec: {} });
const RESPONSE = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${OBJECT_JSON.length}\r\n\r\n${OBJECT_JSON}`;
/** The number of connections that the client keeps. */
const CONNECTIONS = 6;

/** Waits until connections can be reused: this takes one turn of the event loop after their responses. */
function connectionsReusable(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

let server: MutingServer;
let api: ObjectStoreClient;

describe('store client', () => {
  beforeEach(async () => {
    server = await MutingServer.start((socket) => void socket.write(RESPONSE));
    api = new ObjectStoreClient(server.address);
  });

  afterEach(async () => {
    api.close();
    await server.close();
  });

  // If a timeout replaced only its own connection, each other open connection would make one more call time out after 1.5 s: a
  // daemon with four open connections would get no updates for 6 s.
  it('has only one call time out, not one per connection, when all open connections become unresponsive', async () => {
    server.holdResponsesUntil(CONNECTIONS);
    const reads = Array.from({ length: CONNECTIONS }, () => api.read('leader'));
    expect((await Promise.all(reads)).map(({ kind }) => kind)).toEqual(Array(CONNECTIONS).fill('found'));
    expect(server.connections).toEqual(CONNECTIONS);
    await connectionsReusable();
    server.muteUsedConnections();
    expect((await api.read('leader')).kind).toEqual('failed');
    expect((await api.read('leader')).kind).toEqual('found');
  });

  it('reuses the connection after a response', async () => {
    expect((await api.read('leader')).kind).toEqual('found');
    await connectionsReusable();
    expect((await api.read('leader')).kind).toEqual('found');
    expect(server.connections).toEqual(1);
  });
});
