/** The daemon clock of this process. */
import { uptime } from 'node:os';
import { DaemonClock } from './daemon-clock.js';

const MILLISECONDS_PER_SECOND = 1_000;

export const PROCESS_CLOCK = new DaemonClock({
  steady: () => performance.now(),
  boot: () => uptime() * MILLISECONDS_PER_SECOND,
  timeOfDay: () => Date.now(),
});
