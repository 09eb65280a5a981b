/**
 * Runs every test file. Fails when a test fails that KNOWN-RED.txt doesn't list; prints those that it lists, and whether
 * each still fails, passed or was not run.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { type FailedTest, isKnown, parseKnownFailures, stateOfKnown } from './support/known-failures.js';

const LIST = 'KNOWN-RED.txt';
/** A suite fails with its tests; those are what counts. */
const FAILED_BY_SUBTESTS = 'subtestsFailed';

const folder = fileURLToPath(new URL('.', import.meta.url));
const files = readdirSync(folder, { recursive: true, encoding: 'utf8' })
  .filter((path) => /(^|[\\/])test-[^\\/]*\.js$/.test(path))
  .sort()
  .map((path) => join(folder, path));
const known = existsSync(LIST) ? parseKnownFailures(readFileSync(LIST, 'utf8')) : [];
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
  const unknown = failures.filter((failed) => !known.some((line) => isKnown(failed, line)));
  for (const line of known) {
    const state = stateOfKnown(line, files, failures);
    process.stdout.write(`# ${LIST}: ${line.file}: ${line.test}: ${state} (${line.cause}; ${line.issue})\n`);
  }
  unknown.forEach(({ file, test }) => process.stdout.write(`# failed: ${file}: ${test}\n`));
  process.exitCode = unknown.length === 0 ? 0 : 1;
});
