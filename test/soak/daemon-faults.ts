/** Faults of single daemons: restarts and pauses. */
import type { DaemonProcess } from './daemon-process.js';
import { TIMING } from './deployment.js';
import type { PromiseChecker } from './promise-checker.js';
import { pause } from './soak-clock.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Milliseconds after which a stopping daemon, which may be paused meanwhile, is killed as the platform would do. */
const STOP_LIMIT = TIMING.stopGrace * MILLISECONDS_PER_SECOND + 2_000;

/** Ends a running daemon and starts it again after a delay. A planned stop that takes too long is a violation. */
export async function restartDaemon(
  daemon: DaemonProcess,
  how: 'kill' | 'stop',
  delay: number,
  promises: PromiseChecker,
): Promise<void> {
  if (!daemon.isRunning || daemon.stopping) {
    return;
  }
  const ended = daemon.ended();
  daemon.signal(how === 'kill' ? 'SIGKILL' : 'SIGTERM');
  const isInTime = await Promise.race([ended.then(() => true), pause(STOP_LIMIT).then(() => false)]);
  if (!isInTime) {
    promises.fail('a planned stop ends in time', daemon.name);
    daemon.signal('SIGKILL');
    await ended;
  }
  await pause(delay);
  daemon.start();
}

/** Stops the process of a running daemon for some time. */
export async function pauseDaemon(daemon: DaemonProcess, lasts: number): Promise<void> {
  if (!daemon.isRunning || daemon.stopping || daemon.isPaused) {
    return;
  }
  daemon.signal('SIGSTOP');
  await pause(lasts);
  daemon.signal('SIGCONT');
}
