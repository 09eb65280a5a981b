/**
 * Runs every test file. Fails when a test fails that KNOWN-RED.txt does not list. Prints each entry of that list, and whether its test still fails, passed
 * or was not run.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import {
  type FailedTest,
  checkTestsExist,
  isListed,
  parseKnownFailures,
  describeEntry,
} from './support/known-failures.js';

const LIST = 'KNOWN-RED.txt';
/** Failure type of a suite whose tests failed. Only the failed tests count. */
const FAILED_BY_SUBTESTS = 'subtestsFailed';

/** Returns the text of all sources in the folder of a source file. */
function readFolder(file: string): string {
  const parent = dirname(file);
  return readdirSync(parent)
    .filter((name) => name.endsWith('.ts'))
    .map((name) => readFileSync(join(parent, name), 'utf8'))
    .join('\n');
}

const folder = fileURLToPath(new URL('.', import.meta.url));
const files = readdirSync(folder, { recursive: true, encoding: 'utf8' })
  .filter((path) => /(^|[\\/])test-[^\\/]*\.js$/.test(path))
  .sort()
  .map((path) => join(folder, path));
const entries = existsSync(LIST) ? parseKnownFailures(readFileSync(LIST, 'utf8')) : [];
checkTestsExist(entries, readFolder);
const failures: FailedTest[] = [];

const results = run({ files, concurrency: true });
results.on('test:fail', ({ name, file, details }) => {
  const { failureType } = details.error as { failureType?: string };
  if (failureType !== FAILED_BY_SUBTESTS) {
    failures.push({ file: file ?? name, test: name });
  }
});
results.compose(tap).pipe(process.stdout);
results.on('end', () => {
  const unlisted = failures.filter((failed) => !entries.some((entry) => isListed(failed, entry)));
  for (const entry of entries) {
    const state = describeEntry(entry, files, failures);
    process.stdout.write(
      `# ${LIST}: ${entry.file}: ${entry.test}: ${state} (${entry.command}: ${entry.symptom}; issue ${entry.issue})\n`,
    );
  }
  unlisted.forEach(({ file, test }) => process.stdout.write(`# failed: ${file}: ${test}\n`));
  process.exitCode = unlisted.length === 0 ? 0 : 1;
});
