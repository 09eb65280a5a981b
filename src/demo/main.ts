/**
 * The demonstration: runs three daemons, the store and the servers of one system as separate processes on
 * loopback, under traffic, while units move and processes fail. The launcher is separate from the daemon,
 * which itself starts no processes. `--keep` leaves all processes running for manual use.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { stringify } from 'yaml';
import { sendStatement } from '../admin/admin-client.js';
import { routingConfigurationOf, getSystem } from '../emulator/systems.js';
import { formatRows } from '../command-line/table-format.js';
import { findFreePorts, ProcessGroup } from './processes.js';
import { Traffic } from './traffic.js';

const DAEMON_COUNT = 3;
const KEY_COUNT = 20;
const READY_TIMEOUT_MILLISECONDS = 15_000;
const STEP_PAUSE_MILLISECONDS = 2_500;
/** Longest time for which a key may be unavailable after a loss. */
const MAX_UNAVAILABLE_MILLISECONDS = 2_000;

const system = getSystem('klang-valley');
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
  const base = await findFreePorts(serverCount + 1 + DAEMON_COUNT * 3);
  const storePort = base + serverCount;
  const daemonAddresses = (offset: number): string[] =>
    Array.from(
      { length: DAEMON_COUNT },
      (_, index) => `127.0.0.1:${storePort + 1 + offset * DAEMON_COUNT + index}`,
    );
  return {
    store: `127.0.0.1:${storePort}`,
    serverPorts: base,
    http: daemonAddresses(0),
    admin: daemonAddresses(1),
    internal: daemonAddresses(2),
  };
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
  const servers = routingConfigurationOf(system, () => '127.0.0.1:1').groups.map((group) => group.servers);
  const [keyed = [], ...balanced] = servers;
  for (const server of keyed) {
    processes.start(server.id, ['emulate', 'servers', '--only', server.id, ...common]);
  }
  balanced.forEach((group, index) => {
    const only = group.map((server) => server.id).join(',');
    processes.start(`balanced-${index}`, ['emulate', 'servers', '--only', only, ...common]);
  });
  for (let index = 0; index < DAEMON_COUNT; index += 1) {
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
  const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
  while (performance.now() < deadline) {
    const ready = await Promise.all(addresses.admin.map(isReady));
    if (ready.every(Boolean)) {
      return;
    }
    await sleep(50);
  }
  throw new Error('timed out waiting for the daemons to become ready');
}

async function runStatement(admin: string, statement: string): Promise<string> {
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

async function runSteps(addresses: Addresses): Promise<void> {
  const [admin = ''] = addresses.admin;
  const last = addresses.admin.at(-1) ?? admin;
  print(`\n1. Moving a hot key`);
  const target = (await ownerOf(admin, 'rack-1')) === 'rakstatus-02' ? 'rakstatus-03' : 'rakstatus-02';
  print(await runStatement(last, `move key 'rack-1' in rakstatus to ${target}`));
  await sleep(STEP_PAUSE_MILLISECONDS);
  print(await runStatement(admin, "show owner of key 'rack-1' in rakstatus"));

  print('\n2. Draining a server');
  print(await runStatement(admin, 'drain rakstatus-05'));
  await sleep(STEP_PAUSE_MILLISECONDS);
  print(`units left on rakstatus-05: ${await runStatement(last, 'show units of rakstatus-05')}`);

  const frozen = await ownerOf(admin, 'rack-2');
  print(`\n3. Freezing and resuming ${frozen}, the owner of rack-2`);
  processes.signal(frozen, 'SIGSTOP');
  await sleep(STEP_PAUSE_MILLISECONDS);
  print(`rack-2 is now owned by ${await ownerOf(admin, 'rack-2')}`);
  processes.signal(frozen, 'SIGCONT');
  await sleep(STEP_PAUSE_MILLISECONDS);

  print('\n4. Killing and replacing a daemon');
  processes.signal('daemon-2', 'SIGKILL');
  await sleep(STEP_PAUSE_MILLISECONDS);
  startDaemon(addresses, 2);
  await sleep(STEP_PAUSE_MILLISECONDS);
  print(await runStatement(admin, 'show shards'));

  print("\n5. Making the platform's store unavailable");
  await setStoreFault(addresses, 'down');
  print(`configuration change: ${await runStatement(admin, 'undrain rakstatus-05')}`);
  print(`move: ${await runStatement(admin, "move key 'rack-3' in rakstatus to rakstatus-07")}`);
  await sleep(STEP_PAUSE_MILLISECONDS);
  await setStoreFault(addresses, 'none');
}

/** Returns how often each request ran, summed over all servers. */
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

function printResults(traffic: Traffic, runs: ReadonlyMap<string, number>): boolean {
  const repeated = traffic.records.filter((record) => !record.repeatable && (runs.get(record.id) ?? 0) > 1);
  const falselyNotRun = traffic.records.filter(
    (record) => record.outcome === 'not-run' && runs.has(record.id),
  );
  const answeredWithoutRun = traffic.records.filter(
    (record) => record.outcome === 'answered' && !runs.has(record.id),
  );
  const longest = traffic.longestUnavailable();
  const checks: [string, boolean][] = [
    ['no request reported as not-run has run', falselyNotRun.length === 0],
    ['no unrepeatable request ran twice', repeated.length === 0],
    ['every answered request has run', answeredWithoutRun.length === 0],
    ['no key was without a response for more than 2 s', longest.milliseconds <= MAX_UNAVAILABLE_MILLISECONDS],
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
  print('Guarantees checked');
  print(formatRows(checks.map(([check, passed]) => ({ check, result: passed ? 'passed' : 'FAILED' }))));
  return checks.every(([, passed]) => passed);
}

async function printHelpAndWait(addresses: Addresses): Promise<void> {
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
  print('Press Ctrl-C to stop all processes.');
  await new Promise<void>(() => setInterval(() => undefined, 60_000));
}

async function stopAll(): Promise<void> {
  await processes.stop();
  rmSync(folder, { recursive: true, force: true });
}

async function run(): Promise<boolean> {
  const addresses = await chooseAddresses();
  startAll(addresses);
  await waitUntilReady(addresses);
  print(
    `${processes.count} processes are running: ${DAEMON_COUNT} daemons, the store, ${serverCount} servers of ${system.name}`,
  );
  if (process.argv.includes('--keep')) {
    await printHelpAndWait(addresses);
  }
  const keys = Array.from({ length: KEY_COUNT }, (_, index) => `rack-${index + 1}`);
  const traffic = new Traffic(addresses.http, keys);
  traffic.start();
  await sleep(1_000);
  await runSteps(addresses);
  await sleep(1_000);
  await traffic.stop();
  return printResults(traffic, await readRuns(addresses));
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => void stopAll().then(() => process.exit(130)));
}

try {
  const passed = await run();
  await stopAll();
  process.exitCode = passed ? 0 : 1;
} catch (cause) {
  print(cause instanceof Error ? cause.message : String(cause));
  await stopAll();
  process.exitCode = 1;
}
