import { expect } from 'earl';
import { once } from 'node:events';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { request } from 'undici';
import type { ForwardEffect } from '../../src/core/effects.js';
import type { AttemptEndedEvent, DaemonEvent, RequestArrivedEvent } from '../../src/core/events.js';
import { RequestBridge } from '../../src/runtime/request-bridge.js';
import { ServerClient } from '../../src/runtime/server-client.js';
import { startServer, stopServers, type TestServer } from '../support/http-servers.js';

const open: TestServer[] = [];
const clients: ServerClient[] = [];

async function server(...parameters: Parameters<typeof startServer>): Promise<TestServer> {
  const started = await startServer(...parameters);
  open.push(started);
  return started;
}

/** Creates a bridge behind an HTTP server, with access to the events that it dispatches to the reducer. */
async function createBridge(): Promise<{
  bridge: RequestBridge;
  front: TestServer;
  nextEvent: <Kind extends DaemonEvent['kind']>(kind: Kind) => Promise<Extract<DaemonEvent, { kind: Kind }>>;
  /** Waits until a request for the path arrives. */
  waitForRequest: (path: string) => Promise<void>;
}> {
  const events: DaemonEvent[] = [];
  const waiting = new Set<() => void>();
  const client = new ServerClient();
  clients.push(client);
  const dispatch = (event: DaemonEvent): void => {
    events.push(event);
    waiting.forEach((wake) => wake());
  };
  const bridge = new RequestBridge(client, dispatch, () => 0);
  const front = await server((incoming, outgoing) => void bridge.receive(incoming, outgoing, 1_000_000));
  const nextEvent = async <Kind extends DaemonEvent['kind']>(
    kind: Kind,
  ): Promise<Extract<DaemonEvent, { kind: Kind }>> => {
    for (;;) {
      const index = events.findIndex((event) => event.kind === kind);
      if (index >= 0) {
        return events.splice(index, 1)[0] as Extract<DaemonEvent, { kind: Kind }>;
      }
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          waiting.delete(wake);
          resolve();
        };
        waiting.add(wake);
      });
    }
  };
  const waitForRequest = async (path: string): Promise<void> => {
    while ((await nextEvent('requestArrived')).path !== path);
  };
  return { bridge, front, nextEvent, waitForRequest };
}

function forwardTo(arrived: RequestArrivedEvent, attempt: number, address: string): ForwardEffect {
  const token = { group: 'keyed', unit: 1, epoch: 7 };
  const { requestId } = arrived;
  const place = { server: 'keyed-1', address, connections: 4, hops: 1, toOtherSide: false };
  return { kind: 'forward', requestId, attempt, ...place, token, deadlineAt: 1_000 };
}

describe('request bridge', () => {
  afterEach(() => {
    stopServers(...open.splice(0));
    clients.splice(0).forEach((client) => client.close());
  });

  it('can retry a request after an attempt was cancelled', async () => {
    const { bridge, front, nextEvent } = await createBridge();
    const unresponsive = await server(() => undefined);
    const good = await server((_, response) => response.end('whole'));
    const answer = request(`http://${front.address}/k/a`, { method: 'GET' });
    answer.catch(() => undefined);
    const arrived = await nextEvent('requestArrived');
    void bridge.forward(forwardTo(arrived, 1, unresponsive.address));
    bridge.cancel({ kind: 'cancel', requestId: arrived.requestId, attempt: 1 });
    expect((await nextEvent('attemptEnded')).result.kind).toEqual('lost');
    void bridge.forward(forwardTo(arrived, 2, good.address));
    expect((await nextEvent('attemptEnded')).result.kind).toEqual('answered');
    expect(await (await answer).body.text()).toEqual('whole');
  });

  it('forwards the fencing token and drops one that a caller sends', async () => {
    const { bridge, front, nextEvent } = await createBridge();
    let seen: unknown;
    const good = await server((incoming, response) => {
      seen = [
        incoming.headers['fennelferry-epoch'],
        incoming.headers['fennelferry-unit'],
        incoming.headers['x-own'],
      ];
      response.end();
    });
    const headers = { 'fennelferry-epoch': '99', 'fennelferry-extra': '1', 'x-own': 'kept' };
    const answer = request(`http://${front.address}/k/a`, { method: 'GET', headers });
    void bridge.forward(forwardTo(await nextEvent('requestArrived'), 1, good.address));
    await (await answer).body.dump();
    expect(seen).toEqual(['7', '1', 'kept']);
  });

  it("closes the caller's connection when a response is truncated", async () => {
    const { bridge, front, nextEvent } = await createBridge();
    const truncating = await server((_, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('half', () => response.destroy());
    });
    const answer = request(`http://${front.address}/k/a`, { method: 'GET' });
    void bridge.forward(forwardTo(await nextEvent('requestArrived'), 1, truncating.address));
    const ended: AttemptEndedEvent = await nextEvent('attemptEnded');
    expect(ended.result).toEqual({ kind: 'lost', reason: expect.a(String), answerStarted: true });
    const text = await (await answer).body.text().catch(() => 'broken');
    expect(text).toEqual('broken');
  });

  for (const [name, listener, expected] of [
    [
      'a connection reset before the response',
      (request: { socket: { resetAndDestroy(): void } }) => request.socket.resetAndDestroy(),
      'lost',
    ],
    [
      'a rejection by the server',
      (_: unknown, response: { writeHead(status: number, headers: object): { end(): void } }) =>
        response.writeHead(409, { 'fennelferry-refused': 'not-owner' }).end(),
      'refused',
    ],
  ] as const) {
    it(`reports ${expected} after ${name}`, async () => {
      const { bridge, front, nextEvent } = await createBridge();
      const failing = await server(listener as Parameters<typeof startServer>[0]);
      const answer = request(`http://${front.address}/k/a`, { method: 'GET' }).catch(() => undefined);
      const arrived = await nextEvent('requestArrived');
      void bridge.forward(forwardTo(arrived, 1, failing.address));
      expect((await nextEvent('attemptEnded')).result.kind).toEqual(expected);
      const { requestId } = arrived;
      bridge.answer({
        kind: 'answer',
        requestId,
        status: 503,
        outcome: 'not-run',
        title: 't',
        detail: 'd',
        retryAfterSeconds: 1,
      });
      expect((await answer)?.headers['retry-after']).toEqual('1');
    });
  }

  it('reports notSent when no connection was established', async () => {
    const { bridge, front, nextEvent } = await createBridge();
    const gone = await startServer(() => undefined);
    stopServers(gone);
    const answer = request(`http://${front.address}/k/a`, { method: 'GET' }).catch(() => undefined);
    void bridge.forward(forwardTo(await nextEvent('requestArrived'), 1, gone.address));
    expect((await nextEvent('attemptEnded')).result.kind).toEqual('notSent');
    stopServers(front);
    await answer;
  });

  it('notifies the reducer when the caller disconnects', async () => {
    const { front, nextEvent } = await createBridge();
    const abort = new AbortController();
    const answer = request(`http://${front.address}/k/a`, { method: 'GET', signal: abort.signal }).catch(
      () => undefined,
    );
    const { requestId } = await nextEvent('requestArrived');
    abort.abort();
    expect((await nextEvent('callerLeft')).requestId).toEqual(requestId);
    await answer;
  });

  for (const leave of ['reset', 'close'] as const) {
    it(`keeps running when a caller disconnects by a ${leave} while its body is forwarded to a server`, async () => {
      const { bridge, front, nextEvent, waitForRequest } = await createBridge();
      const unresponsive = await server((incoming) => void incoming.resume());
      const [host, port] = front.address.split(':');
      const half = 'POST /k/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n';
      const forwarded = nextEvent('requestArrived').then((arrived) => {
        void bridge.forward(forwardTo(arrived, 1, unresponsive.address));
        return once(unresponsive.server, 'request');
      });
      await sendAndDisconnect(Number(port), host as string, half, leave, forwarded);
      await nextEvent('callerLeft');
      const later = request(`http://${front.address}/k/later`).catch(() => undefined);
      await waitForRequest('/k/later');
      stopServers(front);
      await later;
    });
  }

  // A caller that disconnects in the middle of its body causes an `aborted` error on the request. Without an
  // error listener, that error ended the daemon's process.
  for (const [name, sent] of [
    ['half of a short body', 'POST /k/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\nhalf'],
    [
      'half of a long body',
      `POST /k/a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n${'x'.repeat(70_000)}`,
    ],
    ['half of a chunked body', 'POST /k/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'],
    ['a bad chunk', 'POST /k/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab'],
    ['a header above the size limit', `GET /k/a HTTP/1.1\r\nHost: h\r\nX-Long: ${'y'.repeat(40_000)}`],
    ['half of a request head', 'POST /k/a HT'],
  ] as const) {
    for (const leave of ['reset', 'close'] as const) {
      it(`keeps running when a caller sends ${name} and disconnects by a ${leave}`, async () => {
        const { front, waitForRequest } = await createBridge();
        const [host, port] = front.address.split(':');
        for (let caller = 0; caller < DISCONNECTING_CALLERS; caller += 1) {
          // An incomplete or oversized request head never becomes a request event.
          const received = once(front.server, hasCompleteHead(sent) ? 'request' : 'connection');
          await sendAndDisconnect(Number(port), host as string, sent, leave, received);
        }
        const abort = new AbortController();
        const later = request(`http://${front.address}/k/later`, { signal: abort.signal }).catch(
          () => undefined,
        );
        await waitForRequest('/k/later');
        abort.abort();
        await later;
      });
    }
  }
});

const DISCONNECTING_CALLERS = 5;
const MAX_HEAD_BYTES = 16_384;

function hasCompleteHead(bytes: string): boolean {
  const end = bytes.indexOf('\r\n\r\n');
  return end >= 0 && end < MAX_HEAD_BYTES;
}

/** Sends bytes, waits for the promise that the receiver has got them, and closes the connection. */
async function sendAndDisconnect(
  port: number,
  host: string,
  bytes: string,
  leave: 'reset' | 'close',
  received: Promise<unknown>,
): Promise<void> {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  socket.write(bytes);
  await received;
  const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
  if (leave === 'reset') {
    socket.resetAndDestroy();
  } else {
    socket.destroy();
  }
  await closed;
}
