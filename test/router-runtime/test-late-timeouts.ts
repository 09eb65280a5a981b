import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { RecyclingPool } from '../../src/http-client/index.js';
import { encodePeerMessage } from '../../src/router-runtime/peer-codec.js';
import { PeerLinks } from '../../src/router-runtime/peer-links.js';
import { AnsweringServer } from '../support/answering-server.js';
import { toAddress } from '../support/addresses.js';

/** Turns of the event loop after which an exchange has surely finished. */
const SETTLED_TURNS = 200;
const CALL_TIMEOUT = 100;
/** Longer than the timeout for a parent that sends nothing. */
const LONGER_THAN_IDLE_TIMEOUT = 1_600;
const LENGTH_BYTES = 4;

let server: AnsweringServer | undefined;
let openLinks: PeerLinks | undefined;

afterEach(async () => {
  openLinks?.close();
  openLinks = undefined;
  await server?.close();
});

async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLED_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('timeouts on an event loop that was blocked', () => {
  // Timers run before sockets are polled: a call whose response has arrived could time out as lost.
  it('accept a response that has arrived in time', async () => {
    const answer = Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody');
    server = await AnsweringServer.start(answer, false);
    const pool = new RecyclingPool(`http://${server.address}`, {});
    const call = pool.request({ method: 'GET', path: '/' }, CALL_TIMEOUT).then(
      ({ text }) => text,
      (error: unknown) => String(error),
    );
    await server.blockLoopWhileAnswering(2 * CALL_TIMEOUT);
    expect(await call).toEqual('body');
    pool.destroy();
  });

  // A daemon that is behind could disconnect from its parent although messages of the parent wait unread in the socket.
  it('keep a connection to a parent whose messages have arrived', async () => {
    const message = encodePeerMessage({ kind: 'redirect', address: toAddress('127.0.0.1:1') });
    const frame = Buffer.alloc(LENGTH_BYTES + message.length);
    frame.writeUInt32BE(message.length, 0);
    frame.set(message, LENGTH_BYTES);
    server = await AnsweringServer.start(frame, true);
    const seen: string[] = [];
    const peerLinks = new PeerLinks({
      onMessage: (_link, { kind }) => seen.push(kind),
      onChildClosed: () => seen.push('left'),
      onParentOpened: () => seen.push('opened'),
      onParentClosed: () => seen.push('closed'),
      onMalformed: () => seen.push('malformed'),
      onMalformedItem: () => seen.push('malformed item'),
    });
    openLinks = peerLinks;
    peerLinks.connectToParent(toAddress(server.address));
    await server.blockLoopWhileAnswering(LONGER_THAN_IDLE_TIMEOUT);
    await settle();
    expect(seen).toEqual(['opened', 'redirect']);
  });
});
