/** Worker thread that lets a process run for only a share of each short period, as a processor quota does. */
import { workerData } from 'node:worker_threads';

const PERIOD_MILLISECONDS = 20;
const { pid, share } = workerData as { pid: number; share: number };
const sleepCell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

function sleep(milliseconds: number): void {
  Atomics.wait(sleepCell, 0, 0, milliseconds);
}

function throttle(): void {
  process.kill(pid, 'SIGCONT');
  sleep(PERIOD_MILLISECONDS * share);
  process.kill(pid, 'SIGSTOP');
  sleep(PERIOD_MILLISECONDS * (1 - share));
  setImmediate(throttle);
}

throttle();
