import { expect } from 'earl';
import { spawn } from 'node:child_process';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

const PROGRAM = fileURLToPath(new URL('../support/failing-process.js', import.meta.url));

interface LogLine {
  readonly event: string;
  readonly origin?: string;
  readonly input?: string;
  readonly message?: string;
  readonly stack?: readonly string[];
}

/** Runs the failing process. Returns its exit code and its log. */
async function runFailingProcess(failure: string): Promise<{ code: number | null; lines: LogLine[] }> {
  const child = spawn(process.execPath, [PROGRAM, failure], { stdio: ['ignore', 'pipe', 'ignore'] });
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => (output += bytes.toString()));
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve));
  const lines = output.split('\n').filter((line) => line !== '');
  return { code, lines: lines.map((line) => JSON.parse(line) as LogLine) };
}

describe('exceptions that end a process', () => {
  // A daemon that ended by an exception left neither its last log lines nor the value that it could not handle.
  it('are logged after all earlier events, with the value and the place', async () => {
    const { code, lines } = await runFailingProcess('exception');
    expect(code).toEqual(1);
    expect(lines.map(({ event }) => event)).toEqual(['started', 'uncaught_exception']);
    expect(lines[1]?.input).toEqual('http://127.0.0.1:70000');
    expect(lines[1]?.stack?.some((line) => line.includes('failing-process'))).toEqual(true);
  });

  // A promise that nobody awaited ended a daemon without a trace in its log.
  it('are told from rejected promises', async () => {
    const { code, lines } = await runFailingProcess('rejection');
    expect(code).toEqual(1);
    expect([lines[1]?.origin, lines[1]?.message]).toEqual(['unhandledRejection', 'a rejected promise']);
  });
});
