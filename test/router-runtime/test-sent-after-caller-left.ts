import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { type HeldUpCase, HeldUpFront } from '../support/held-up-front.js';

const getRequest = (id: string): string =>
  `GET /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: ${id}\r\n\r\n`;

function postInChunks(id: string): string[] {
  const head = `POST /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: ${id}\r\nContent-Length: 6\r\n\r\n`;
  return [head, 'abc', 'def'];
}

const BASE: HeldUpCase = {
  callers: 20,
  isKept: true,
  leaving: 'close',
  heldAt: 'reading',
  piecesOf: (id) => [getRequest(id)],
};

/** What the event loop finds in its sockets when it continues. */
const CASES: Readonly<Record<string, HeldUpCase>> = {
  'reused connections that were closed': BASE,
  'new connections that were closed': { ...BASE, isKept: false },
  'connections that were reset': { ...BASE, leaving: 'reset' },
  'new connections that were reset': { ...BASE, isKept: false, leaving: 'reset' },
  'connections that were half-closed': { ...BASE, leaving: 'halfClose' },
  'bodies in pieces': { ...BASE, piecesOf: postInChunks },
  'two requests in one packet': { ...BASE, piecesOf: (id) => [getRequest(id) + getRequest(`${id}-second`)] },
  'callers that disconnected while another request was handled': { ...BASE, heldAt: 'takingIn' },
  'callers on new connections that disconnected while another request was handled': {
    ...BASE,
    isKept: false,
    heldAt: 'takingIn',
  },
  'callers that disconnected while a connection to the server was established': {
    ...BASE,
    isKept: false,
    heldAt: 'connecting',
  },
  'many callers on new connections': { ...BASE, callers: 200, isKept: false },
};

let front: HeldUpFront | undefined;

afterEach(() => front?.close());

describe('an event loop that was blocked', () => {
  // The end of a connection waits in the socket right behind the request: the request could be forwarded before the end is read.
  it('does not forward a request whose caller has disconnected', async () => {
    for (const [name, heldUpCase] of Object.entries(CASES)) {
      front = await HeldUpFront.start();
      const { sent } = await front.play(heldUpCase);
      await front.close();
      expect({ name, sent }).toEqual({ name, sent: 0 });
    }
  });

  // If the tick ran before the sockets were polled, servers and daemons whose responses wait unread would count as unresponsive.
  it('reads the data that has arrived meanwhile before it runs the tick', async () => {
    front = await HeldUpFront.start();
    const { ticksBeforeEnds } = await front.play(BASE);
    expect(ticksBeforeEnds).toEqual(0);
  });

  // Each turn of the loop accepts one connection: if requests were handled in every turn, later connections would wait for all of them.
  it('reads the requests on all connections that wait to be accepted before it handles one', async () => {
    front = await HeldUpFront.start();
    const { readBeforeFirst } = await front.play({ ...BASE, callers: 20, isKept: false, leaving: 'stay' });
    expect(readBeforeFirst).toEqual(20);
  });

  it('removes a pipelined request when its caller disconnects', async () => {
    front = await HeldUpFront.start();
    const { inFlight } = await front.play(CASES['two requests in one packet'] as HeldUpCase);
    expect(inFlight).toEqual(0);
  });
});
