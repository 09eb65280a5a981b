/** Worker thread of a daemon's process that writes the time at short intervals, so that a gap shows that the machine did not run the process. */
import { writeSync } from 'node:fs';
import { HEARTBEAT_DESCRIPTOR } from './heartbeats.js';
import { now } from './soak-clock.js';

const INTERVAL_MILLISECONDS = 50;
const sleepCell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

for (;;) {
  writeSync(HEARTBEAT_DESCRIPTOR, `${now()}\n`);
  Atomics.wait(sleepCell, 0, 0, INTERVAL_MILLISECONDS);
}
