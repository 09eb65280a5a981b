/** Checks after the final time without faults that service has come back. */
import type { Caller } from './caller.js';
import type { CrashingRequests } from './crashing-requests.js';
import type { PromiseChecker } from './promise-checker.js';

const CHECKED_KEY = 4_711;
/** Time within which the keys of a crashed server are served again: its lease, and a move to another server. */
const RECOVERY_MILLISECONDS = 5_000;
/** Crashes after which the service is checked once more: three under each of two requests, before these are in quarantine. */
const MAX_REPETITIONS = 6;

/** Returns the calls that are not answered: every daemon should serve all routes of a configuration version. */
async function findUnserved(callers: readonly Caller[], version: number): Promise<string[]> {
  const unserved: string[] = [];
  for (const caller of callers) {
    for (const path of [`/added-${version}/`, '/keyed/', '/once/']) {
      const { status, reason } = await caller.call(path, CHECKED_KEY);
      if (status !== 200) {
        unserved.push(`${path} at ${caller.daemon.name}: status ${status} ${reason}`);
      }
    }
  }
  return unserved;
}

/**
 * Checks that every daemon serves all routes of a configuration version once no server has crashed for the recovery time. A crash during the check
 * begins that time anew: a request may crash three servers after all daemons have restarted, and the keys of the last of them are not served at once.
 */
export async function checkServedAgain(
  callers: readonly Caller[],
  version: number,
  crashes: CrashingRequests,
  promises: PromiseChecker,
): Promise<void> {
  for (let repetition = 0; repetition <= MAX_REPETITIONS; repetition += 1) {
    await crashes.waitUntilCrashesCease(RECOVERY_MILLISECONDS);
    const { crashCount } = crashes;
    const unserved = await findUnserved(callers, version);
    if (unserved.length === 0) {
      return;
    }
    if (crashes.crashCount === crashCount || repetition === MAX_REPETITIONS) {
      unserved.forEach((detail) => promises.fail('service comes back', detail));
      return;
    }
  }
}
