import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { type HeldUpCase, HeldUpFront } from '../support/held-up-front.js';

const get = (id: string): string => `GET /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: ${id}\r\n\r\n`;

function postInPieces(id: string): string[] {
  const head = `POST /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: ${id}\r\nContent-Length: 6\r\n\r\n`;
  return [head, 'abc', 'def'];
}

const BASE: HeldUpCase = {
  callers: 20,
  isKept: true,
  leaving: 'close',
  heldAt: 'reading',
  piecesOf: (id) => [get(id)],
};

/** What the loop finds in its sockets when it goes on. */
const CASES: Readonly<Record<string, HeldUpCase>> = {
  'kept connections that were closed': BASE,
  'new connections that were closed': { ...BASE, isKept: false },
  'connections that were reset': { ...BASE, leaving: 'reset' },
  'new connections that were reset': { ...BASE, isKept: false, leaving: 'reset' },
  'connections that were closed on one side': { ...BASE, leaving: 'halfClose' },
  'bodies in pieces': { ...BASE, piecesOf: postInPieces },
  'two requests in one packet': { ...BASE, piecesOf: (id) => [get(id) + get(`${id}-second`)] },
  'callers that left while another request was taken in': { ...BASE, heldAt: 'takingIn' },
  'callers on new connections that left while another request was taken in': {
    ...BASE,
    isKept: false,
    heldAt: 'takingIn',
  },
  'callers that left while a connection to the server came up': {
    ...BASE,
    isKept: false,
    heldAt: 'connecting',
  },
  'many callers on new connections': { ...BASE, callers: 200, isKept: false },
};

let front: HeldUpFront | undefined;

afterEach(() => front?.close());

describe('a loop that was held up', () => {
  // A request was sent on before the end of its connection, right behind it in the socket, was read.
  it('sends no request on whose caller has left', async () => {
    for (const [name, held] of Object.entries(CASES)) {
      front = await HeldUpFront.start();
      const { sent } = await front.play(held);
      await front.close();
      expect({ name, sent }).toEqual({ name, sent: 0 });
    }
  });

  // The tick ran before the sockets: servers and daemons whose answers lay there unread were taken for silent.
  it('reads what has come meanwhile before it judges by the time', async () => {
    front = await HeldUpFront.start();
    const { ticksBeforeEnds } = await front.play(BASE);
    expect(ticksBeforeEnds).toEqual(0);
  });

  // One connection was accepted in each turn of the loop, and the turn's work done before the next one.
  it('reads the requests on all connections that wait to be accepted before it takes one in', async () => {
    front = await HeldUpFront.start();
    const { readBeforeFirst } = await front.play({ ...BASE, callers: 20, isKept: false, leaving: 'stay' });
    expect(readBeforeFirst).toEqual(20);
  });

  it('forgets a request that came right behind another one when their caller leaves', async () => {
    front = await HeldUpFront.start();
    const { inFlight } = await front.play(CASES['two requests in one packet'] as HeldUpCase);
    expect(inFlight).toEqual(0);
  });
});
