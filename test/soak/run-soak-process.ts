/** Runs one soak in a process of its own, so that runs at the same time do not delay each other's checks. */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { SoakOptions, SoakReport } from './soak-report.js';

const PROGRAM = fileURLToPath(new URL('soak-process.js', import.meta.url));

/** Ends the daemons that a soak's process left behind. */
function killGroup(leader: number | undefined): void {
  if (leader === undefined) {
    return;
  }
  try {
    process.kill(-leader, 'SIGKILL');
  } catch {
    // The soak's process had ended its daemons.
  }
}

/** Runs a soak, and rejects if its process ends without a report. */
export function runSoakProcess(options: SoakOptions): Promise<SoakReport> {
  const child = fork(PROGRAM, [JSON.stringify(options)], { detached: true });
  return new Promise((resolve, reject) => {
    let report: SoakReport | null = null;
    child.on('message', (message) => {
      report = message as SoakReport;
    });
    child.on('error', reject);
    child.on('exit', (code, signal) => {
      if (report === null) {
        killGroup(child.pid);
        reject(new Error(`the soak of seed ${options.seed} ended without a report: ${signal ?? code}`));
      } else {
        resolve(report);
      }
    });
  });
}
