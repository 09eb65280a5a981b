/** Delivers the regular ticks of simulated daemons. */
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { VirtualClock } from './virtual-clock.js';

const TICK = 20;

type DeliverTick = (daemon: SimulatedDaemon) => void;

/** Begins to deliver ticks to all daemons, except while their processes are paused. */
export function startTicks(
  clock: VirtualClock,
  daemons: readonly SimulatedDaemon[],
  deliver: DeliverTick,
): void {
  for (const daemon of daemons) {
    if (daemon.pausedUntil <= clock.now && !daemon.isTickWaiting) {
      tickWhenIdle(clock, daemon, deliver);
    }
  }
  clock.schedule(TICK, () => startTicks(clock, daemons, deliver));
}

/** Delivers a tick once the daemon's process has done the work that it has begun. Ticks that are due meanwhile are skipped. */
function tickWhenIdle(clock: VirtualClock, daemon: SimulatedDaemon, deliver: DeliverTick): void {
  const wait = daemon.machine.timeUntilIdle();
  daemon.isTickWaiting = wait > 0;
  if (daemon.isTickWaiting) {
    clock.schedule(wait, () => tickWhenIdle(clock, daemon, deliver));
  } else {
    deliver(daemon);
  }
}
