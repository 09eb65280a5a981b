/** The list of tests that fail for a fault that is known and not mended yet: KNOWN-RED.txt at the root. */

/** One line of the list. */
export interface KnownFailure {
  /** Path of the test's source. */
  readonly file: string;
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

/** More must not wait at a time. */
export const MOST_KNOWN_FAILURES = 3;
const SEPARATOR = '|';
const FIELDS = 4;

/**
 * Reads the list: a line for each test, `file | test | cause | issue`. Throws at a malformed line, and when there are too many.
 *
 * @example
 * parseKnownFailures('test/a.ts | adds | the carry is lost | issue 7');
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MOST_KNOWN_FAILURES) {
    throw new Error(`KNOWN-RED.txt: ${lines.length} lines; at most ${MOST_KNOWN_FAILURES}`);
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

/** A test that failed, by its compiled file or its source's. */
export interface FailedTest {
  readonly file: string;
  readonly test: string;
}

function isSourceOf(source: string, file: string): boolean {
  return file.replace(/\.(js|ts)$/, '').endsWith(source.replace(/\.ts$/, ''));
}

/** Whether a failed test is the one of a line. */
export function isKnown(failed: FailedTest, known: KnownFailure): boolean {
  return failed.test === known.test && isSourceOf(known.file, failed.file);
}

/** What a run of test files says of a line: its test failed, its file is not among those of the run, or its test passed. */
export function stateOfKnown(
  known: KnownFailure,
  files: readonly string[],
  failures: readonly FailedTest[],
): string {
  if (failures.some((failed) => isKnown(failed, known))) {
    return 'fails as listed';
  }
  const hasRun = files.some((file) => isSourceOf(known.file, file));
  return hasRun ? 'PASSED: take it off the list' : 'not run here: by hand only';
}
