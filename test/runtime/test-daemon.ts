import { createConsola } from 'consola';
import { expect } from 'earl';
import { once } from 'node:events';
import { createConnection, createServer, type AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { sendStatement } from '../../src/admin/admin-client.js';
import { DEFAULT_BEHAVIOUR, ServerProcess } from '../../src/emulator/server-process.js';
import { startStoreProcess } from '../../src/emulator/store-process.js';
import { DEFAULT_TIMING } from '../../src/core/timing.js';
import { Daemon } from '../../src/runtime/daemon.js';
import { checkSettings } from '../../src/settings/daemon-settings.js';

const SERVICE_MILLISECONDS = 300;
/** Long timeouts, so that no lease expires on a machine that is overloaded for seconds. */
const LONG_TIMEOUTS = { ...DEFAULT_TIMING, serverLease: 60_000, controlTimeout: 20_000 };

async function freeAddress(): Promise<string> {
  const probe = createServer().listen(0, '127.0.0.1');
  await once(probe, 'listening');
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, 'close');
  return `127.0.0.1:${port}`;
}

/** Runs a daemon, a store and an upstream server in this process, connected by real sockets. */
describe('daemon over real sockets', () => {
  const server = new ServerProcess('only-1', {
    ...DEFAULT_BEHAVIOUR,
    coldRequests: 0,
    serviceMilliseconds: SERVICE_MILLISECONDS,
  });
  let daemon: Daemon;
  let stopStore: () => void;
  const at = { http: '', admin: '', internal: '', store: '', server: '' };

  before(async () => {
    for (const name of Object.keys(at) as (keyof typeof at)[]) {
      at[name] = await freeAddress();
    }
    const only = { id: 'only-1', address: at.server, zone: 'z', concurrency: 4, connections: 20 };
    const key = { from: 'path', name: 'key' };
    const routing = JSON.stringify({
      groups: [{ name: 'only', kind: 'keyed', slots: 4, replicas: 1, servers: [only] }],
      routes: [
        { name: 'all', path: '/k/:key', methods: ['GET', 'POST'], group: 'only', key, repeatable: false },
      ],
    });
    stopStore = await startStoreProcess({ address: at.store, maxWaitingReaders: 2, objects: { routing } });
    await server.start(at.server);
    const { http, admin, internal } = at;
    const limits = { bodyBytes: 1_000, headerBytes: 2_048 };
    const settings = {
      id: 'd-1',
      zone: 'z',
      side: 's',
      listen: { http, admin, internal },
      store: `http://${at.store}`,
      limits,
    };
    daemon = new Daemon(
      checkSettings(settings, 'test')._unsafeUnwrap(),
      createConsola({ level: -999 }),
      LONG_TIMEOUTS,
    );
    await daemon.start();
    while ((await request(`http://${admin}/health/ready`)).statusCode !== 200) {
      await sleep(20);
    }
  });

  after(() => {
    server.stop();
    stopStore();
  });

  it('forwards a request to the owner and returns the complete response', async () => {
    const answer = await request(`http://${at.http}/k/a?x=1`, { method: 'POST', body: 'hello' });
    expect(answer.headers['fennelferry-outcome']).toEqual('answered');
    const body = (await answer.body.json()) as { server: string; bodyBytes: number; url: string };
    expect([body.server, body.bodyBytes, body.url]).toEqual(['only-1', 5, '/k/a?x=1']);
  });

  it('rejects oversized requests and unknown routes, with the outcome not-run', async () => {
    const largeBody = await request(`http://${at.http}/k/a`, { method: 'POST', body: 'x'.repeat(1_001) });
    const unknownRoute = await request(`http://${at.http}/nowhere`);
    const longHeader = await request(`http://${at.http}/k/a`, {
      headers: { 'x-large': 'x'.repeat(4_000) },
    });
    expect([largeBody.statusCode, unknownRoute.statusCode, longHeader.statusCode]).toEqual([413, 404, 431]);
    expect([largeBody.headers, unknownRoute.headers].map((each) => each['fennelferry-outcome'])).toEqual([
      'not-run',
      'not-run',
    ]);
  });

  it('closes the connection of a peer that sends a malformed frame, counts the frame and keeps running', async () => {
    const [host = '', port = ''] = at.internal.split(':');
    const socket = createConnection({ host, port: Number(port) });
    socket.on('error', () => undefined);
    socket.write(Buffer.from([0, 0, 0, 3, 255, 255, 255]));
    await once(socket, 'close');
    expect(daemon.state.counters.malformed_frames).toEqual(1);
    expect((await request(`http://${at.admin}/health/live`)).statusCode).toEqual(200);
  });

  it('answers operator queries, rejects an invalid query with the error position, and exports its counters', async () => {
    const valid = (await sendStatement(at.admin, "show owner of key 'a' in only", 'me'))._unsafeUnwrap();
    expect('rows' in valid.body && valid.body.rows[0]?.['server']).toEqual('only-1');
    const invalid = (await sendStatement(at.admin, 'show nothing', 'me'))._unsafeUnwrap();
    expect([invalid.status, 'detail' in invalid.body && invalid.body.detail.includes('character 6')]).toEqual(
      [400, true],
    );
    const metrics = await (await request(`http://${at.admin}/metrics`)).body.text();
    expect(metrics.includes('fennelferry_malformed_frames_total 1')).toEqual(true);
  });

  it('completes the requests in flight during a planned stop', async () => {
    const answers = ['a', 'b', 'c'].map((key) => request(`http://${at.http}/k/${key}`));
    while (daemon.state.requests.active.size < answers.length) {
      await sleep(5);
    }
    const stopped = daemon.stop();
    for (const answer of await Promise.all(answers)) {
      expect(answer.headers['fennelferry-outcome']).toEqual('answered');
      await answer.body.json();
    }
    await stopped;
    expect(
      await request(`http://${at.http}/k/a`).catch((cause: unknown) => (cause as { code: string }).code),
    ).toEqual('ECONNREFUSED');
  });
});
