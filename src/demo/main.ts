/**
 * The demonstration: three daemons, the store and the servers of one user as separate processes on
 * loopback, under traffic, while things move and fail. A launcher beside the product: the product itself
 * starts no process. `--keep` leaves everything up for use by hand.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { stringify } from 'yaml';
import { sendStatement } from '../admin/admin-client.js';
import { configurationOf, systemNamed } from '../emulator/systems.js';
import { formatRows } from '../command-line/table-format.js';
import { findFreePorts, ProcessGroup } from './processes.js';
import { Traffic } from './traffic.js';

const DAEMONS = 3;
const KEYS = 20;
const READY_PATIENCE_MILLISECONDS = 15_000;
const STEP_MILLISECONDS = 2_500;
/** Unavailable time that the users allow after a loss. */
const ALLOWED_UNAVAILABLE_MILLISECONDS = 2_000;

const system = systemNamed('klang-valley');
const serverCount = system.groups.reduce((count, group) => count + group.servers, 0);
const processes = new ProcessGroup();
const folder = mkdtempSync(join(tmpdir(), 'fennelferry-demo-'));

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

interface Addresses {
  readonly store: string;
  readonly serverPorts: number;
  readonly http: readonly string[];
  readonly admin: readonly string[];
  readonly internal: readonly string[];
}

async function chooseAddresses(): Promise<Addresses> {
  const base = await findFreePorts(serverCount + 1 + DAEMONS * 3);
  const own = base + serverCount;
  const row = (offset: number): string[] =>
    Array.from({ length: DAEMONS }, (_, index) => `127.0.0.1:${own + 1 + offset * DAEMONS + index}`);
  return { store: `127.0.0.1:${own}`, serverPorts: base, http: row(0), admin: row(1), internal: row(2) };
}

function startDaemon(addresses: Addresses, index: number): void {
  const zone = system.zones[index % system.zones.length] ?? '';
  const settings = {
    id: `${zone}-1`,
    zone,
    side: system.name,
    listen: {
      http: addresses.http[index],
      admin: addresses.admin[index],
      internal: addresses.internal[index],
    },
    seeds: addresses.internal,
    store: `http://${addresses.store}`,
  };
  const file = join(folder, `daemon-${index}.yaml`);
  writeFileSync(file, stringify(settings));
  processes.start(`daemon-${index}`, ['serve', '--settings', file, '--json-logs']);
}

function startAll(addresses: Addresses): void {
  const ports = String(addresses.serverPorts);
  const common = ['--system', system.name, '--server-ports', ports];
  processes.start('store', ['emulate', 'store', '--address', addresses.store, ...common]);
  const servers = configurationOf(system, () => '127.0.0.1:1').groups.map((group) => group.servers);
  const [keyed = [], ...balanced] = servers;
  for (const server of keyed) {
    processes.start(server.id, ['emulate', 'servers', '--only', server.id, ...common]);
  }
  balanced.forEach((group, index) => {
    const only = group.map((server) => server.id).join(',');
    processes.start(`balanced-${index}`, ['emulate', 'servers', '--only', only, ...common]);
  });
  for (let index = 0; index < DAEMONS; index += 1) {
    startDaemon(addresses, index);
  }
}

async function isReady(admin: string): Promise<boolean> {
  try {
    const answer = await request(`http://${admin}/health/ready`);
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}

async function waitUntilReady(addresses: Addresses): Promise<void> {
  const giveUpAt = performance.now() + READY_PATIENCE_MILLISECONDS;
  while (performance.now() < giveUpAt) {
    const ready = await Promise.all(addresses.admin.map(isReady));
    if (ready.every(Boolean)) {
      return;
    }
    await sleep(50);
  }
  throw new Error('the daemons did not get ready in time');
}

async function say(admin: string, statement: string): Promise<string> {
  const answer = await sendStatement(admin, statement, 'demo');
  if (answer.isErr()) {
    return answer.error.message;
  }
  const { body } = answer.value;
  return 'rows' in body ? formatRows(body.rows).trimEnd() : body.detail;
}

async function ownerOf(admin: string, key: string): Promise<string> {
  const answer = await sendStatement(admin, `show owner of key '${key}' in rakstatus`, 'demo');
  const body = answer.isOk() ? answer.value.body : { detail: '' };
  return 'rows' in body ? String(body.rows[0]?.['server'] ?? '') : '';
}

async function setStoreFault(addresses: Addresses, fault: string): Promise<void> {
  const answer = await request(`http://${addresses.store}/emulator/fault`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ fault }),
  });
  await answer.body.dump();
}

async function play(addresses: Addresses): Promise<void> {
  const [admin = ''] = addresses.admin;
  const last = addresses.admin.at(-1) ?? admin;
  print(`\n1. A hot key moves`);
  const target = (await ownerOf(admin, 'rack-1')) === 'rakstatus-02' ? 'rakstatus-03' : 'rakstatus-02';
  print(await say(last, `move key 'rack-1' in rakstatus to ${target}`));
  await sleep(STEP_MILLISECONDS);
  print(await say(admin, "show owner of key 'rack-1' in rakstatus"));

  print('\n2. A server is drained');
  print(await say(admin, 'drain rakstatus-05'));
  await sleep(STEP_MILLISECONDS);
  print(`units left on it: ${await say(last, 'show units of rakstatus-05')}`);

  const frozen = await ownerOf(admin, 'rack-2');
  print(`\n3. The owner of rack-2, ${frozen}, freezes and returns`);
  processes.signal(frozen, 'SIGSTOP');
  await sleep(STEP_MILLISECONDS);
  print(`rack-2 is owned by ${await ownerOf(admin, 'rack-2')} now`);
  processes.signal(frozen, 'SIGCONT');
  await sleep(STEP_MILLISECONDS);

  print('\n4. A daemon is killed and replaced');
  processes.signal('daemon-2', 'SIGKILL');
  await sleep(STEP_MILLISECONDS);
  startDaemon(addresses, 2);
  await sleep(STEP_MILLISECONDS);
  print(await say(admin, 'show shards'));

  print("\n5. The platform's store is down");
  await setStoreFault(addresses, 'down');
  print(`a change of configuration: ${await say(admin, 'undrain rakstatus-05')}`);
  print(`a move: ${await say(admin, "move key 'rack-3' in rakstatus to rakstatus-07")}`);
  await sleep(STEP_MILLISECONDS);
  await setStoreFault(addresses, 'none');
}

/** How often each request ran, over all servers. */
async function readRuns(addresses: Addresses): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (let index = 0; index < serverCount; index += 1) {
    const answer = await request(`http://127.0.0.1:${addresses.serverPorts + index}/emulator/runs`);
    const ofServer = (await answer.body.json()) as Record<string, number>;
    for (const [id, count] of Object.entries(ofServer)) {
      runs.set(id, (runs.get(id) ?? 0) + count);
    }
  }
  return runs;
}

function report(traffic: Traffic, runs: ReadonlyMap<string, number>): boolean {
  const twice = traffic.records.filter((record) => !record.repeatable && (runs.get(record.id) ?? 0) > 1);
  const liedTo = traffic.records.filter((record) => record.outcome === 'not-run' && runs.has(record.id));
  const unmet = traffic.records.filter((record) => record.outcome === 'answered' && !runs.has(record.id));
  const longest = traffic.longestUnavailable();
  const checks: [string, boolean][] = [
    ['not-run requests that ran', liedTo.length === 0],
    ['unrepeatable requests that ran twice', twice.length === 0],
    ['answers to requests that did not run', unmet.length === 0],
    [
      'no key is without an answer for more than 2 s',
      longest.milliseconds <= ALLOWED_UNAVAILABLE_MILLISECONDS,
    ],
  ];
  print('\nRequests');
  print(
    formatRows([
      {
        sent: traffic.records.length,
        answered: traffic.count('answered'),
        notRun: traffic.count('not-run'),
        unknown: traffic.count('unknown'),
        brokenWithTheKilledDaemon: traffic.count('broken'),
        longestUnavailable: `${longest.milliseconds} ms (${longest.key})`,
      },
    ]),
  );
  print('Promises checked');
  print(formatRows(checks.map(([check, held]) => ({ check, result: held ? 'holds' : 'BROKEN' }))));
  return checks.every(([, held]) => held);
}

async function keepUp(addresses: Addresses): Promise<void> {
  print(
    `callers: ${addresses.http.join(' ')}\noperators: ${addresses.admin.join(' ')}\nstore: ${addresses.store}`,
  );
  const [admin = ''] = addresses.admin;
  for (const statement of [
    'show servers',
    "show owner of key 'rack-7' in rakstatus",
    "move key 'rack-7' in rakstatus to rakstatus-02",
    'drain rakstatus-05',
  ]) {
    print(`  node dist/src/main.js query --admin ${admin} "${statement}"`);
  }
  print('Ctrl-C ends all.');
  await new Promise<void>(() => setInterval(() => undefined, 60_000));
}

async function endAll(): Promise<void> {
  await processes.end();
  rmSync(folder, { recursive: true, force: true });
}

async function run(): Promise<boolean> {
  const addresses = await chooseAddresses();
  startAll(addresses);
  await waitUntilReady(addresses);
  print(
    `${processes.count} processes run: ${DAEMONS} daemons, the store, ${serverCount} servers of ${system.name}`,
  );
  if (process.argv.includes('--keep')) {
    await keepUp(addresses);
  }
  const keys = Array.from({ length: KEYS }, (_, index) => `rack-${index + 1}`);
  const traffic = new Traffic(addresses.http, keys);
  traffic.start();
  await sleep(1_000);
  await play(addresses);
  await sleep(1_000);
  await traffic.stop();
  return report(traffic, await readRuns(addresses));
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => void endAll().then(() => process.exit(130)));
}

try {
  const held = await run();
  await endAll();
  process.exitCode = held ? 0 : 1;
} catch (cause) {
  print(cause instanceof Error ? cause.message : String(cause));
  await endAll();
  process.exitCode = 1;
}
