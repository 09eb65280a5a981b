import { expect } from 'earl';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { ServerControlClient } from '../../platform/server-control-client.js';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import type { Address } from '../../src/router/model/address.js';
import type { ControlEffect } from '../../src/router/effects.js';
import { performGuarded, runReducer } from '../../src/router-runtime/effect-guard.js';
import { checkPath } from '../../src/router-runtime/path-checker.js';
import { PeerLinks } from '../../src/router-runtime/peer-links.js';
import {
  MAX_CONNECTIONS_PER_SERVER,
  ServerConnections,
} from '../../src/router-runtime/server-connections.js';
import { FrontendFixture, get, until } from '../support/frontend-fixture.js';

/** What no parser makes: the constructors throw for it. */
const NO_ADDRESS = '127.0.0.1:65536' as Address;
const TIMEOUT = 2_000;
const PROBE: ControlEffect = {
  kind: 'control',
  callId: 1,
  action: 'probe',
  server: 'i-1',
  address: NO_ADDRESS,
  from: 0,
  to: 0,
  fence: 0,
  hold: 0,
  handover: null,
  timeout: 200,
  healthPath: '/health',
};
const IGNORING_LISTENER = { onNotice: () => undefined, onLimitRead: () => undefined };

let fixture: FrontendFixture | undefined;
let links: PeerLinks | undefined;
let server: Server | undefined;

afterEach(() => {
  fixture?.close();
  links?.close();
  server?.close();
});

describe('a connection that cannot even be created', () => {
  // The exception ended the daemon.
  it('ends the check of a path with a failure', async () => {
    const failure = await new Promise((resolve) =>
      checkPath(
        { kind: 'checkPath', checkId: 1, address: NO_ADDRESS, timeout: TIMEOUT },
        new PollBarrier(),
        resolve,
      ),
    );
    expect(failure).toEqual('ERR_SOCKET_BAD_PORT');
  });

  it('ends the link to a parent, which is opened again later', async () => {
    const closed: string[] = [];
    links = new PeerLinks({
      onMessage: () => undefined,
      onChildClosed: () => undefined,
      onParentOpened: () => closed.push('opened'),
      onParentClosed: (address, isRefused) => closed.push(`${address} ${isRefused}`),
      onMalformed: () => undefined,
      onMalformedItem: () => undefined,
    });
    links.connectToParent(NO_ADDRESS);
    expect(await until(() => closed.length >= 2, TIMEOUT)).toEqual(true);
    expect([...new Set(closed)]).toEqual([`${NO_ADDRESS} false`]);
  });

  it('ends an attempt as not sent', async () => {
    fixture = await FrontendFixture.start('127.0.0.1:9');
    const { frontend } = fixture;
    fixture.onArrival = ({ requestId }) =>
      frontend.attempts.forward({
        kind: 'forward',
        requestId,
        attempt: 1,
        server: 'i-1',
        address: NO_ADDRESS,
        timeLeft: TIMEOUT,
        buffer: true,
        isLimited: false,
        repeatable: false,
      });
    fixture.connect().socket.write(get('a'));
    expect(await until(() => fixture?.results.length === 1, TIMEOUT)).toEqual(true);
    expect(fixture.results).toEqual([{ kind: 'notSent', reason: 'Invalid URL', refused: false }]);
  });

  it('ends a call to a server as not sent', async () => {
    const control = new ServerControlClient();
    const outcome = await control.call(PROBE, IGNORING_LISTENER);
    expect(outcome.kind).toEqual('notSent');
  });

  // Each one that was not created counted as open, until no connection to the address was left.
  it('does not count as open', () => {
    const connections = new ServerConnections(new PollBarrier());
    for (let attempt = 0; attempt <= MAX_CONNECTIONS_PER_SERVER; attempt += 1) {
      expect(connections.acquire(NO_ADDRESS)._unsafeUnwrapErr().isFull).toEqual(false);
    }
  });
});

describe('a request that the HTTP client does not send', () => {
  // Each server in turn counted as out of reach for it.
  it('is told from one whose connection failed', async () => {
    server = createServer((socket) => socket.resume());
    const listening = server;
    await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
    fixture = await FrontendFixture.start(`127.0.0.1:${(listening.address() as AddressInfo).port}`);
    const caller = fixture.connect();
    caller.socket.write('OPTIONS * HTTP/1.1\r\nHost: h.example\r\nFennelferry-Attempt-Id: a\r\n\r\n');
    expect(await until(() => fixture?.results.length === 1, TIMEOUT)).toEqual(true);
    expect(fixture.results.map(({ kind }) => kind)).toEqual(['unsendable']);
  });

  it('is refused at once if it names two hosts', async () => {
    fixture = await FrontendFixture.start('127.0.0.1:9');
    const caller = fixture.connect();
    caller.socket.write('GET /a HTTP/1.1\r\nHost: h.example\r\nHost: i.example\r\n\r\n');
    expect(await until(() => caller.statuses.length === 1, TIMEOUT)).toEqual(true);
    expect([caller.statuses, fixture.arrived]).toEqual([[400], []]);
  });

  it('is no call that a server left unanswered', async () => {
    const control = new ServerControlClient();
    const address = '127.0.0.1:9' as Address;
    const outcome = await control.call({ ...PROBE, address, healthPath: '/a b' }, IGNORING_LISTENER);
    expect(outcome.kind).toEqual('notSent');
  });
});

describe('an exception while effects are performed', () => {
  it('is reported, unless the reducer has thrown it', () => {
    const failures: string[] = [];
    const report = (reason: string): void => void failures.push(reason);
    const fail = (): never => {
      throw new Error('it failed');
    };
    performGuarded(fail, report);
    expect(failures).toEqual(['it failed']);
    expect(() => performGuarded(() => void runReducer(fail), report)).toThrow('it failed');
    expect(failures).toEqual(['it failed']);
  });
});
