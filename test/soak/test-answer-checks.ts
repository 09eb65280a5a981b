import { expect } from 'earl';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { AnswerChecks, type CheckedDaemon } from './answer-checks.js';
import { DaemonProcess, type ProcessEnd } from './daemon-process.js';
import { type CallerOutcome, PromiseChecker } from './promise-checker.js';
import { now, pause } from './soak-clock.js';

const PORTS = { http: '', readiness: '', admin: '', peers: '', proxy: '' };
const END = { daemon: 'd0', status: 1, lastLine: 'uncaught_exception' };

function daemon(changes: Partial<CheckedDaemon> = {}): CheckedDaemon {
  return {
    name: 'd0',
    stopping: false,
    isPaused: false,
    isRunning: true,
    isScheduled: true,
    lastFaultAt: 0,
    lastPlantedFaultAt: 0,
    heartbeats: { lastGapEndedAt: 0 },
    ...changes,
  };
}

function outcome(changes: Partial<CallerOutcome> = {}): CallerOutcome {
  const times = { sentAt: 10_000, endedAt: 10_050, duringPlannedStop: false };
  const request = { attemptId: 'd0-1', path: '/once/', daemon: 'd0' };
  return { ...request, ...times, status: 0, reason: '', ending: 'closed', ...changes };
}

/** Returns the promises that are broken when requests end at a daemon one of whose processes may have ended by itself. */
function brokenBy(outcomes: CallerOutcome[], ends: ProcessEnd[] = [], at = daemon()): string[] {
  const promises = new PromiseChecker();
  const checks = new AnswerChecks(promises, [at]);
  ends.forEach((end) => checks.recordEnd(end));
  outcomes.forEach((each) => promises.recordOutcome(each));
  checks.finish();
  return promises.violations.map((violation) => violation.split(':')[0] ?? '');
}

describe('the checks of ends and answers', () => {
  // A soak said "all promises kept" beside processes that ended by themselves and lost requests.
  it('report the end of a process, and the requests that it had read', () => {
    expect(brokenBy([outcome()], [{ ...END, at: 10_060 }], daemon({ lastFaultAt: 10_060 }))).toEqual([
      'no process ends by itself',
      'no request without an answer',
    ]);
  });

  // A daemon that hung answered nobody, and no check said so.
  it('report requests that stay unanswered at a process that goes on', () => {
    expect(brokenBy([outcome({ ending: 'unanswered', status: -1, endedAt: 12_500 })])).toEqual([
      'no request without an answer',
    ]);
    expect(brokenBy([outcome({ ending: 'cutShort' })])).toEqual(['no request without an answer']);
  });

  it('report nothing when a planted fault explains it, or the request was answered or not read', () => {
    expect(brokenBy([outcome()], [], daemon({ lastPlantedFaultAt: 9_000 }))).toEqual([]);
    expect(brokenBy([outcome()], [], daemon({ heartbeats: { lastGapEndedAt: 9_000 } }))).toEqual([]);
    expect(brokenBy([outcome()], [], daemon({ isPaused: true }))).toEqual([]);
    expect(brokenBy([outcome({ ending: 'answered', status: 503 })])).toEqual([]);
    expect(brokenBy([outcome({ ending: 'refused' }), outcome({ ending: 'reset' })])).toEqual([]);
  });

  it('report a reset when a server has run the request', () => {
    const promises = new PromiseChecker();
    const checks = new AnswerChecks(promises, [daemon()]);
    promises.onArrival({ asksForBackOff: false } as never, 'd0-1', true);
    promises.recordOutcome(outcome({ ending: 'reset' }));
    checks.finish();
    expect(promises.violations.length).toEqual(1);
  });
});

describe('the process of a daemon', () => {
  async function endsOf(
    program: string,
    act: (process: DaemonProcess) => Promise<void>,
  ): Promise<ProcessEnd[]> {
    const folder = mkdtempSync(join(tmpdir(), 'fennelferry-ends-'));
    const path = join(folder, 'program.mjs');
    writeFileSync(path, program);
    const options = { folder, program: path, suspends: false, portsInReach: null };
    const process = new DaemonProcess('d0', PORTS, {}, options);
    const ends: ProcessEnd[] = [];
    process.onOwnEnd = (end) => ends.push(end);
    process.start();
    await act(process);
    process.retire();
    await process.ended();
    rmSync(folder, { recursive: true, force: true });
    return ends;
  }

  /** Waits until a condition holds. */
  async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await pause(10);
    }
  }

  const FAILING = 'console.log(\'{"event":"uncaught_exception"}\'); console.log("more"); process.exit(3);';
  const RUNNING = 'setInterval(() => undefined, 1000);';
  const FAILING_WHEN_STOPPED = `process.on('SIGTERM', () => process.exit(1)); console.error('ready'); ${RUNNING}`;

  // A daemon that had ended by itself was never started again, and its end was not reported.
  it('is started again after an end that nobody ordered, which is reported with the exception', async () => {
    const startedAt = now();
    const ends = await endsOf(FAILING, async (process) => {
      let count = 0;
      const report = process.onOwnEnd;
      process.onOwnEnd = (end) => {
        count += 1;
        report(end);
      };
      await until(() => count === 2);
    });
    expect(ends.slice(0, 2).map(({ status, lastLine }) => [status, lastLine])).toEqual([
      [3, '{"event":"uncaught_exception"}'],
      [3, '{"event":"uncaught_exception"}'],
    ]);
    expect(ends.every(({ at }) => at >= startedAt)).toEqual(true);
  });

  it('has not ended by itself when it was killed', async () => {
    const ends = await endsOf(RUNNING, async (process) => {
      const ended = process.ended();
      process.signal('SIGKILL');
      await ended;
    });
    expect(ends).toEqual([]);
  });

  it('has ended by itself when a planned stop ends with a failure', async () => {
    const ends = await endsOf(FAILING_WHEN_STOPPED, async (process) => {
      await until(() => process.isScheduled);
      await pause(200);
      const ended = process.ended();
      process.signal('SIGTERM');
      await ended;
      await pause(50);
    });
    expect(ends.map(({ status }) => status)).toEqual([1]);
  });
});
