import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { RecyclingPool } from '../../src/http-client/index.js';
import { encodePeerMessage } from '../../src/router-runtime/peer-codec.js';
import { PeerLinks } from '../../src/router-runtime/peer-links.js';
import { AnsweringServer } from '../support/answering-server.js';

/** Turns of the loop after which nothing of an exchange is left to happen. */
const SETTLED_TURNS = 200;
const PATIENCE = 100;
/** Longer than links wait for a message. */
const LONGER_THAN_SILENCE = 1_600;
const LENGTH_BYTES = 4;

let server: AnsweringServer | undefined;
let links: PeerLinks | undefined;

afterEach(async () => {
  links?.close();
  links = undefined;
  await server?.close();
});

async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLED_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('time-outs of a loop that was held up', () => {
  // The time-out ran before the socket was read: calls that had been answered counted as lost.
  it('take an answer that has come in time', async () => {
    const answer = Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody');
    server = await AnsweringServer.start(answer, false);
    const pool = new RecyclingPool(`http://${server.address}`, {});
    const call = pool.request({ method: 'GET', path: '/' }, PATIENCE).then(
      ({ text }) => text,
      (error: unknown) => String(error),
    );
    await server.holdWhileItAnswers(2 * PATIENCE);
    expect(await call).toEqual('body');
    pool.destroy();
  });

  // A daemon that was behind left its parent, whose messages lay in the socket.
  it('keep a link whose messages have come', async () => {
    const message = encodePeerMessage({ kind: 'redirect', address: '127.0.0.1:1' });
    const frame = Buffer.alloc(LENGTH_BYTES + message.length);
    frame.writeUInt32BE(message.length, 0);
    frame.set(message, LENGTH_BYTES);
    server = await AnsweringServer.start(frame, true);
    const seen: string[] = [];
    const made = new PeerLinks({
      onMessage: (_link, { kind }) => seen.push(kind),
      onLeft: () => seen.push('left'),
      onParentOpened: () => seen.push('opened'),
      onParentClosed: () => seen.push('closed'),
      onMalformed: () => seen.push('malformed'),
    });
    links = made;
    made.follow(server.address);
    await server.holdWhileItAnswers(LONGER_THAN_SILENCE);
    await settle();
    expect(seen).toEqual(['opened', 'redirect']);
  });
});
