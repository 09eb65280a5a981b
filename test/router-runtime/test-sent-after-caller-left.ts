import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { type BlockedLoopCase, BlockedLoopFront } from '../support/blocked-loop-front.js';

const getRequest = (id: string): string =>
  `GET /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: ${id}\r\n\r\n`;

function postInChunks(id: string): string[] {
  const head = `POST /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: ${id}\r\nContent-Length: 6\r\n\r\n`;
  return [head, 'abc', 'def'];
}

const BASE: BlockedLoopCase = {
  callers: 20,
  reusesConnections: true,
  disconnection: 'close',
  blockedAt: 'reading',
  splitRequest: (id) => [getRequest(id)],
};

/** What the event loop finds in its sockets when it continues. */
const CASES: Readonly<Record<string, BlockedLoopCase>> = {
  'reused connections that were closed': BASE,
  'new connections that were closed': { ...BASE, reusesConnections: false },
  'connections that were reset': { ...BASE, disconnection: 'reset' },
  'new connections that were reset': { ...BASE, reusesConnections: false, disconnection: 'reset' },
  'connections that were half-closed': { ...BASE, disconnection: 'halfClose' },
  'bodies in pieces': { ...BASE, splitRequest: postInChunks },
  'two requests in one packet': {
    ...BASE,
    splitRequest: (id) => [getRequest(id) + getRequest(`${id}-second`)],
  },
  'callers that disconnected while another request was handled': { ...BASE, blockedAt: 'takingIn' },
  'callers on new connections that disconnected while another request was handled': {
    ...BASE,
    reusesConnections: false,
    blockedAt: 'takingIn',
  },
  'callers that disconnected while a connection to the server was established': {
    ...BASE,
    reusesConnections: false,
    blockedAt: 'connecting',
  },
  'many callers on new connections': { ...BASE, callers: 200, reusesConnections: false },
};

let front: BlockedLoopFront | undefined;

afterEach(() => front?.close());

describe('an event loop that was blocked', () => {
  // The end of a connection waits in the socket right behind the request: the request could be forwarded before the end is read.
  it('does not forward a request whose caller has disconnected', async () => {
    for (const [name, heldUpCase] of Object.entries(CASES)) {
      front = await BlockedLoopFront.start();
      const { sent } = await front.runCase(heldUpCase);
      await front.close();
      expect({ name, sent }).toEqual({ name, sent: 0 });
    }
  });

  // If the tick ran before the sockets were polled, servers and daemons whose responses wait unread would count as unresponsive.
  it('reads the data that has arrived meanwhile before it runs the tick', async () => {
    front = await BlockedLoopFront.start();
    const { ticksBeforeLastDisconnect } = await front.runCase(BASE);
    expect(ticksBeforeLastDisconnect).toEqual(0);
  });

  // Each turn of the loop accepts one connection: if requests were handled in every turn, later connections would wait for all of them.
  it('reads the requests on all connections that wait to be accepted before it handles one', async () => {
    front = await BlockedLoopFront.start();
    const { readBeforeFirstAdmission } = await front.runCase({
      ...BASE,
      callers: 20,
      reusesConnections: false,
      disconnection: 'stay',
    });
    expect(readBeforeFirstAdmission).toEqual(20);
  });

  it('removes a pipelined request when its caller disconnects', async () => {
    front = await BlockedLoopFront.start();
    const { inFlight } = await front.runCase(CASES['two requests in one packet'] as BlockedLoopCase);
    expect(inFlight).toEqual(0);
  });
});
