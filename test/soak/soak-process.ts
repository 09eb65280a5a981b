/** Process of one soak, whose options are its argument. Sends the report to the parent process. */
import { runSoak } from './soak.js';
import type { SoakOptions } from './soak-report.js';

// The process leads a group with its daemons, which must not outlive a run that nobody waits for.
process.on('disconnect', () => process.kill(-process.pid, 'SIGKILL'));
const report = await runSoak(JSON.parse(process.argv[2] ?? '') as SoakOptions);
process.send?.(report, () => {
  process.removeAllListeners('disconnect');
  process.exit();
});
