/** Lets a process run for a share of each short period only, as a quota of processor time does. Runs as a worker. */
import { workerData } from 'node:worker_threads';

const PERIOD_MILLISECONDS = 20;
const { pid, share } = workerData as { pid: number; share: number };
const cell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

function sleep(milliseconds: number): void {
  Atomics.wait(cell, 0, 0, milliseconds);
}

function run(): void {
  process.kill(pid, 'SIGCONT');
  sleep(PERIOD_MILLISECONDS * share);
  process.kill(pid, 'SIGSTOP');
  sleep(PERIOD_MILLISECONDS * (1 - share));
  setImmediate(run);
}

run();
