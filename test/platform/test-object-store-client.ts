import { expect } from 'earl';
import { ok } from 'neverthrow';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import type { WatchOutcome } from '../../src/router/ports.js';
import { MutingServer } from '../support/muting-server.js';
import { toAddress } from '../support/addresses.js';

const OBJECT_JSON = JSON.stringify({ metadata: { name: 'main', revision: 5 }, spec: {} });
const RESPONSE = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${OBJECT_JSON.length}\r\n\r\n${OBJECT_JSON}`;
/** The number of connections that the client keeps. */
const CONNECTIONS = 12;

/** Waits until connections can be reused: this takes one turn of the event loop after their responses. */
function connectionsReusable(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

let server: MutingServer;
let api: ObjectStoreClient;

describe('store client', () => {
  beforeEach(async () => {
    server = await MutingServer.start((socket) => void socket.write(RESPONSE));
    api = new ObjectStoreClient(toAddress(server.address));
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

  // A watch that was given up when it was overdue confirmed nothing at a slow store. One that stays must not keep others on a dead connection.
  it('leaves an overdue watch in flight and makes later calls on new connections', async () => {
    const feed = api.feed(
      'items',
      () => ok('item'),
      () => undefined,
    );
    server.holdResponsesUntil(2);
    const timing = { wait: 1, dueTime: 20, timeout: 60_000 };
    let outcome: Promise<WatchOutcome<string>> | undefined;
    await new Promise<void>((onOverdue) => {
      outcome = new Promise((done) => feed.watch(4, timing, done, onOverdue));
    });
    expect((await api.read('leader')).kind).toEqual('found');
    // The server's only response is not one to a watch. That it was read shows that the watch was not given up.
    expect(await outcome).toEqual({ kind: 'failed', reason: 'status 200', isResponding: false });
    expect(server.connections).toEqual(2);
  });

  it('reuses the connection after a response', async () => {
    expect((await api.read('leader')).kind).toEqual('found');
    await connectionsReusable();
    expect((await api.read('leader')).kind).toEqual('found');
    expect(server.connections).toEqual(1);
  });
});
