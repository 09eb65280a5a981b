/**
 * Loaded into a daemon's process before its program: its steady clock stands still while the process is stopped, as that of a
 * suspended machine does; the boot-time clock and the time of day go on. A stop shows as a gap between two looks.
 */

/** Looks come with each tick, 20 ms apart: so long a gap is a stop, or a stall, of the process. */
const SHORTEST_STOP_MILLISECONDS = 300;

const realNow = performance.now.bind(performance);
let lastLookAt = realNow();
let stopped = 0;

performance.now = () => {
  const now = realNow();
  if (now - lastLookAt > SHORTEST_STOP_MILLISECONDS) {
    stopped += now - lastLookAt;
  }
  lastLookAt = now;
  return now - stopped;
};
