/**
 * Guards against server crashes under one request not being counted together. If the fingerprint covered the address of the caller's
 * connection, the same request arriving from other addresses at daemons of other zones would be counted as different requests, and would
 * be sent to further servers after it had crashed three. A server never sees the caller's address, so it can't affect what the request does.
 */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { REQUEST_PROTOCOL } from '../../platform/protocol.js';
import { CallerFrontend } from '../../src/router-runtime/caller-frontend.js';
import type { RouterEvent } from '../../src/router/events.js';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import { ServerConnections } from '../../src/router-runtime/server-connections.js';
import { NO_ATTEMPT } from '../../src/router/request/request-execution.js';
import { listenOnLoopback } from '../support/addresses.js';
import { throwFailure } from '../support/throw-failure.js';

let runningFrontend: CallerFrontend | undefined;
afterEach(() => runningFrontend?.closeAll());
afterEach(() => runningFrontend?.closeIdle());

/** Sends one request from each address and returns the requests' fingerprints in the same order. */
async function fingerprints(
  addresses: readonly string[],
  headers: readonly Record<string, string>[],
): Promise<string[]> {
  const received: string[] = [];
  const barrier = new PollBarrier();
  const onEvent = (event: RouterEvent): void => {
    if (event.kind === 'requestArrived') {
      const { requestId, fingerprint } = event;
      received.push(fingerprint.value);
      frontend.answer({
        kind: 'answer',
        requestId,
        status: 503,
        reason: 'a test',
        retryAfter: null,
        execution: NO_ATTEMPT,
        attempts: 0,
        isPathLost: false,
      });
    }
  };
  const frontend = new CallerFrontend({
    protocol: REQUEST_PROTOCOL,
    connections: new ServerConnections(barrier),
    proxyConnections: new ServerConnections(barrier),
    barrier,
    dispatch: onEvent,
    loop: { readDelay: () => 0, isOnTime: () => true },
    longestReadDelay: () => null,
    isWriteAllowed: () => true,
    onFailure: throwFailure,
  });
  runningFrontend = frontend;
  await listenOnLoopback(frontend.server);
  const { port } = frontend.server.address() as AddressInfo;
  for (const [index, localAddress] of addresses.entries()) {
    await new Promise<void>((resolve, reject) => {
      const options = { host: '127.0.0.1', port, path: '/a', localAddress, headers: headers[index] ?? {} };
      request(options, (answer) => answer.resume().on('end', resolve))
        .on('error', reject)
        .end();
    });
  }
  return received;
}

const HOST = { host: 'h.example' };

describe('the fingerprint of an incoming request', () => {
  it('does not depend on the address of the caller', async () => {
    const [first, second] = await fingerprints(['127.0.0.1', '127.0.0.2'], [HOST, HOST]);
    expect(first).toEqual(second as string);
  });

  it("depends on the caller's credentials", async () => {
    const callers = [
      { ...HOST, authorization: 'Bearer one' },
      { ...HOST, authorization: 'Bearer two' },
    ];
    const [first, second] = await fingerprints(['127.0.0.1', '127.0.0.1'], callers);
    expect(first).not.toEqual(second as string);
  });
});
