/** Reads KNOWN-RED.txt, the list of tests that fail because of known faults that are not fixed yet. */

/** One entry of the list. */
export interface KnownFailure {
  /** Path of the test's source file. */
  readonly file: string;
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

/** Most entries that the list may have. */
export const MAX_KNOWN_FAILURES = 3;
const SEPARATOR = '|';
const FIELDS = 4;

/**
 * Parses the list, which has one line per test: `file | test | cause | issue`. Throws when a line is malformed or there are too many lines.
 *
 * @example
 * parseKnownFailures('test/a.ts | adds | the carry is lost | issue 7');
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MAX_KNOWN_FAILURES) {
    throw new Error(`KNOWN-RED.txt: ${lines.length} lines; at most ${MAX_KNOWN_FAILURES}`);
  }
  return lines.map((line, index) => {
    const fields = line.split(SEPARATOR).map((field) => field.trim());
    const [file, test, cause, issue] = fields;
    if (fields.length !== FIELDS || !file || !test || !cause || !issue) {
      throw new Error(`KNOWN-RED.txt, line ${index + 1}: not "file | test | cause | issue"`);
    }
    return { file, test, cause, issue };
  });
}

/** A test that failed. `file` is the path of its compiled file or of its source. */
export interface FailedTest {
  readonly file: string;
  readonly test: string;
}

function isSourceOf(source: string, file: string): boolean {
  return file.replace(/\.(js|ts)$/, '').endsWith(source.replace(/\.ts$/, ''));
}

/** Whether a failed test is the one that an entry names. */
export function isListed(failed: FailedTest, known: KnownFailure): boolean {
  return failed.test === known.test && isSourceOf(known.file, failed.file);
}

/** Returns the state of an entry after a run of test files: its test failed, its file was not run, or its test passed. */
export function describeEntry(
  known: KnownFailure,
  files: readonly string[],
  failures: readonly FailedTest[],
): string {
  if (failures.some((failed) => isListed(failed, known))) {
    return 'fails as listed';
  }
  const hasRun = files.some((file) => isSourceOf(known.file, file));
  return hasRun ? 'PASSED: take it off the list' : 'not run here: by hand only';
}
