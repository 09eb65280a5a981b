import { expect } from 'earl';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { ObjectApi } from '../../platform/object-api.js';
import { MutingServer } from '../support/muting-server.js';

const OBJECT = JSON.stringify({ metadata: { name: 'main', revision: 5 }, spec: {} });
const ANSWER = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${OBJECT.length}\r\n\r\n${OBJECT}`;
/** As many as a daemon keeps. */
const CONNECTIONS = 6;

/** A connection is taken for the next call a turn of the loop after its answer. */
function connectionsAtRest(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

let server: MutingServer;
let api: ObjectApi;

describe('calls to the store', () => {
  beforeEach(async () => {
    server = await MutingServer.start((socket) => void socket.write(ANSWER));
    api = new ObjectApi(server.address);
  });

  afterEach(async () => {
    api.close();
    await server.close();
  });

  // Each connection that was open cost a call its time-out of 1.5 s: a daemon with four of them heard nothing for 6 s.
  it('lose one time-out, and not one for each connection, when connections go silent', async () => {
    server.holdUntil(CONNECTIONS);
    const reads = Array.from({ length: CONNECTIONS }, () => api.read('leader'));
    expect((await Promise.all(reads)).map(({ kind }) => kind)).toEqual(Array(CONNECTIONS).fill('found'));
    expect(server.connections).toEqual(CONNECTIONS);
    await connectionsAtRest();
    server.mute();
    expect((await api.read('leader')).kind).toEqual('failed');
    expect((await api.read('leader')).kind).toEqual('found');
  });

  it('go on over the same connection after an answer', async () => {
    expect((await api.read('leader')).kind).toEqual('found');
    await connectionsAtRest();
    expect((await api.read('leader')).kind).toEqual('found');
    expect(server.connections).toEqual(1);
  });
});
