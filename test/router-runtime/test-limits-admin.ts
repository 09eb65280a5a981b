import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { PROCESS_CLOCK } from '../../src/clock/process-clock.js';
import { LimitsCommand } from '../../src/command-line/limits-command.js';
import { createRouterAdmin } from '../../src/router-runtime/router-admin.js';
import { RouterMetrics } from '../../src/router-runtime/router-metrics.js';
import { Cli } from 'clipanion';
import { PassThrough } from 'node:stream';
import { SingleDaemon } from '../router/support/single-daemon.js';

let admin: Server | undefined;
afterEach(() => {
  admin?.closeAllConnections();
  admin?.close();
});

/** Starts the admin server of a daemon that knows one rate limit, and returns its address. */
async function startAdmin(): Promise<string> {
  const { state } = new SingleDaemon();
  const now = PROCESS_CLOCK.now();
  state.limits.recordReading('s1', 3.2, now - 1, now);
  admin = createRouterAdmin(state, new RouterMetrics(state, new Map()), () => undefined);
  await new Promise<void>((resolve) => admin?.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(admin.address() as AddressInfo).port}`;
}

/** Runs `fennelferry limits` and returns its exit code and output. */
async function runLimits(...addresses: string[]): Promise<{ exit: number; output: string; errors: string }> {
  const cli = new Cli();
  cli.register(LimitsCommand);
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const exit = await cli.run(['limits', ...addresses], { stdout, stderr });
  return { exit, output: String(stdout.read() ?? ''), errors: String(stderr.read() ?? '') };
}

describe('rate limits of servers, as operators see them', () => {
  it('are listed by the admin server', async () => {
    const answer = await fetch(`http://${await startAdmin()}/limits`);
    const [listed] = (await answer.json()) as Record<string, unknown>[];
    expect(listed?.['server']).toEqual('s1');
    expect(listed?.['service']).toEqual('logs');
    expect(listed?.['limit']).toEqual(3.2);
    expect(listed?.['places']).toEqual('equal share');
    expect(listed?.['shares']).toEqual(null);
  });

  it('are exposed as metrics', async () => {
    const text = await (await fetch(`http://${await startAdmin()}/metrics`)).text();
    expect(text.includes('fennelferry_router_limited_servers 1')).toEqual(true);
    expect(text.includes('fennelferry_router_server_limit{server="s1"} 3.2')).toEqual(true);
  });

  it('are printed by a command, which names the daemons that it could not reach', async () => {
    const address = await startAdmin();
    const { exit, output, errors } = await runLimits(address, '127.0.0.1:1');
    expect(exit).toEqual(3);
    expect(output.includes('s1')).toEqual(true);
    expect(output.includes('3.2')).toEqual(true);
    expect(errors.includes('127.0.0.1:1')).toEqual(true);
  });
});
