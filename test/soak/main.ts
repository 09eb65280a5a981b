/**
 * Runs the long soak by hand: `npm run soak -- --seeds 1..50 --daemons 5 --seconds 25 --at-once 3 --harsh --notices --limits --leaving`.
 *
 * `--program FILE` starts all daemons from another build. `--program-of-half FILE` starts every second daemon from that build, so that two builds run
 * beside each other. A daemon keeps its build over restarts, and the report line says how many elections each build won.
 */
import { parseArgs } from 'node:util';
import { DEFAULT_PROGRAM } from './daemon-process.js';
import type { SoakReport } from './soak-report.js';
import { runSoak } from './soak.js';

const MILLISECONDS_PER_SECOND = 1_000;

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1..5' },
    daemons: { type: 'string', default: '5' },
    servers: { type: 'string', default: '4' },
    seconds: { type: 'string', default: '25' },
    program: { type: 'string', default: DEFAULT_PROGRAM },
    'program-of-half': { type: 'string' },
    'at-once': { type: 'string', default: '1' },
    harsh: { type: 'boolean', default: false },
    notices: { type: 'boolean', default: false },
    limits: { type: 'boolean', default: false },
    leaving: { type: 'boolean', default: false },
  },
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printReport(report: SoakReport): void {
  const {
    seed,
    violations,
    requests,
    answered,
    versions,
    longestStallMilliseconds,
    faults,
    logDirectory: folder,
    serverCrashes,
  } = report;
  const won = [...report.leadershipsWon].map(([program, count]) => `${count} by ${program}`).join(', ');
  const builds = values['program-of-half'] === undefined ? '' : `; elections won: ${won}`;
  const verdict = violations.length === 0 ? 'all promises kept' : `${violations.length} BROKEN`;
  print(
    `seed ${seed}: ${verdict}; ${requests} requests, ${answered} answered; ${versions} versions; ${serverCrashes} servers crashed; ${faults.length} faults; longest stall ${longestStallMilliseconds} ms${builds}`,
  );
  if (violations.length > 0) {
    violations.slice(0, 10).forEach((violation) => print(`  ${violation}`));
    faults.forEach((fault) => print(`    at ${fault}`));
    print(`  logs: ${folder}`);
  }
}

const [first = 1, last = first] = values.seeds.split('..').map(Number);
const seeds = Array.from({ length: last - first + 1 }, (_, index) => first + index);
let brokenRuns = 0;

async function runSeeds(): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const report = await runSoak({
      seed,
      daemons: Number(values.daemons),
      servers: Number(values.servers),
      program: values.program,
      programOfHalf: values['program-of-half'],
      hasCrashes: values.harsh,
      hasNotices: values.notices,
      hasLimits: values.limits,
      hasDisconnects: values.leaving,
      length: Number(values.seconds) * MILLISECONDS_PER_SECOND,
    });
    printReport(report);
    brokenRuns += report.violations.length > 0 ? 1 : 0;
  }
}

await Promise.all(Array.from({ length: Number(values['at-once']) }, runSeeds));
print(`${brokenRuns} of ${last - first + 1} runs broke a promise`);
process.exitCode = brokenRuns === 0 ? 0 : 1;
