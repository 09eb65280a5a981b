/**
 * What one request costs a daemon: processor time by the daemon's own account, under closed-loop load
 * over loopback from this process. One daemon, servers that answer at once.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Pool, request } from 'undici';
import { stringify } from 'yaml';
import { configurationOf, systemNamed } from '../emulator/systems.js';
import { findFreePorts, ProcessGroup } from '../demo/processes.js';

const CALLERS = 48;
const WARM_UP_MILLISECONDS = 2_000;
const MEASURE_MILLISECONDS = 6_000;
const READY_TRIES = 200;

/** Cost of a request. */
export interface RequestCost {
  readonly requestsPerSecond: number;
  /** Processor time of the daemon for one request, control included, in microseconds. */
  readonly microseconds: number;
  readonly residentBytes: number;
}

async function metric(admin: string, name: string): Promise<number> {
  const answer = await request(`http://${admin}/metrics`);
  const text = await answer.body.text();
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
  return Number(line?.split(' ')[1] ?? 0);
}

async function waitUntilReady(admin: string): Promise<void> {
  for (let attempt = 0; attempt < READY_TRIES; attempt += 1) {
    const status = await request(`http://${admin}/health/ready`)
      .then(async (answer) => {
        await answer.body.dump();
        return answer.statusCode;
      })
      .catch(() => 0);
    if (status === 200) {
      return;
    }
    await sleep(50);
  }
  throw new Error('the daemon did not get ready');
}

async function callUntil(pool: Pool, end: number, caller: number): Promise<void> {
  for (let count = 0; performance.now() < end; count += 1) {
    const answer = await pool.request({ method: 'GET', path: `/racks/rack-${caller}-${count % 50}/status` });
    await answer.body.dump();
  }
}

/** Measures. Starts and ends its own processes. */
export async function measureRequestCost(): Promise<RequestCost> {
  const system = systemNamed();
  const servers = configurationOf(system, () => '127.0.0.1:1').groups.flatMap(
    (group) => group.servers,
  ).length;
  const base = await findFreePorts(servers + 4);
  const [store, http, admin, internal] = [0, 1, 2, 3].map((offset) => `127.0.0.1:${base + servers + offset}`);
  const folder = mkdtempSync(join(tmpdir(), 'fennelferry-cost-'));
  const file = join(folder, 'daemon.yaml');
  const settings = {
    id: 'd-1',
    zone: 'z-1',
    side: 's-1',
    listen: { http, admin, internal },
    store: `http://${store}`,
  };
  writeFileSync(file, stringify(settings));
  const processes = new ProcessGroup();
  const common = ['--server-ports', String(base)];
  const pool = new Pool(`http://${http}`, { connections: CALLERS });
  try {
    processes.start('store', ['emulate', 'store', '--address', store ?? '', ...common]);
    processes.start('servers', ['emulate', 'servers', '--instant', ...common]);
    processes.start('daemon', ['serve', '--settings', file, '--json-logs']);
    await waitUntilReady(admin ?? '');
    const load = (milliseconds: number): Promise<unknown> => {
      const end = performance.now() + milliseconds;
      return Promise.all(Array.from({ length: CALLERS }, (_, caller) => callUntil(pool, end, caller)));
    };
    await load(WARM_UP_MILLISECONDS);
    const cpuBefore = await metric(admin ?? '', 'process_cpu_seconds_total');
    const countBefore = await metric(admin ?? '', 'fennelferry_requests_answered_total');
    await load(MEASURE_MILLISECONDS);
    const cpu = (await metric(admin ?? '', 'process_cpu_seconds_total')) - cpuBefore;
    const count = (await metric(admin ?? '', 'fennelferry_requests_answered_total')) - countBefore;
    const residentBytes = await metric(admin ?? '', 'process_resident_memory_bytes');
    const requestsPerSecond = count / (MEASURE_MILLISECONDS / 1_000);
    return { requestsPerSecond, microseconds: (cpu / count) * 1e6, residentBytes };
  } finally {
    await pool.destroy();
    await processes.end();
    rmSync(folder, { recursive: true, force: true });
  }
}
