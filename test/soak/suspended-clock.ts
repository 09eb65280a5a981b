/**
 * Loaded into a daemon's process before its program. Makes the monotonic clock (`performance.now`) stop while the process is stopped, as on a suspended
 * machine, while the boot-time clock and the time of day go on. A stop is detected as a gap between two readings of the clock.
 */

/** The daemon reads the clock on each tick, every 20 ms: a longer gap than this means that the process was stopped or stalled. */
const SHORTEST_STOP_MILLISECONDS = 300;

const readRealClock = performance.now.bind(performance);
let lastReadAt = readRealClock();
let stoppedMilliseconds = 0;

performance.now = () => {
  const now = readRealClock();
  if (now - lastReadAt > SHORTEST_STOP_MILLISECONDS) {
    stoppedMilliseconds += now - lastReadAt;
  }
  lastReadAt = now;
  return now - stoppedMilliseconds;
};
