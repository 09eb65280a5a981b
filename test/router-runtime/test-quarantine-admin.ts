import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createRouterAdmin } from '../../src/router-runtime/router-admin.js';
import { RouterMetrics } from '../../src/router-runtime/router-metrics.js';
import type { RouterEvent } from '../../src/router/events.js';
import { SingleDaemon } from '../router/support/single-daemon.js';

const FINGERPRINT = '0123456789abcdef0123456789abcdef';

let admin: Server | undefined;
afterEach(() => {
  admin?.closeAllConnections();
  admin?.close();
});

/** Starts the admin server of a daemon that has one request in quarantine, and returns its URL. */
async function startAdmin(events: RouterEvent[]): Promise<string> {
  const { state, now } = new SingleDaemon();
  const ended = ['s1', 's2', 's3'].map((server) => ({ server, age: 0 }));
  const record = {
    fingerprint: FINGERPRINT,
    ended,
    exonerated: [],
    quarantined: true,
    retested: false,
    heldBack: false,
  };
  state.crashTable.merge(record, now);
  const server = createRouterAdmin(state, new RouterMetrics(state, new Map()), (event) => events.push(event));
  admin = server;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('the admin server', () => {
  it('lists quarantined requests', async () => {
    const base = await startAdmin([]);
    const [listed] = (await (await fetch(`${base}/quarantines`)).json()) as { fingerprint: string }[];
    expect(listed?.fingerprint).toEqual(FINGERPRINT);
  });

  it('lifts a quarantine, and responds with 404 for an unknown fingerprint', async () => {
    const events: RouterEvent[] = [];
    const base = await startAdmin(events);
    const unknown = await fetch(`${base}/quarantines/${'f'.repeat(32)}`, { method: 'DELETE' });
    expect(unknown.status).toEqual(404);
    const lifted = await fetch(`${base}/quarantines/${FINGERPRINT}`, { method: 'DELETE' });
    expect(lifted.status).toEqual(202);
    expect(events).toEqual([{ kind: 'quarantineLifted', fingerprint: FINGERPRINT }]);
  });
});
