/** Reads KNOWN-RED.txt, the list of tests that fail because of known faults that are not fixed yet. */

/** Whether a listed test fails in every run or only in some. */
export type Frequency = 'always' | 'sometimes';

/** One entry of the list: one fault. */
export interface KnownFailure {
  /** Path of the test's source file. */
  readonly file: string;
  /** Title of the test, or name of the promise that a soak checks. */
  readonly test: string;
  /** How to run the test, with its seed. */
  readonly command: string;
  readonly frequency: Frequency;
  /** What was seen. */
  readonly symptom: string;
  /** Number of the open issue. */
  readonly issue: string;
}

const SEPARATOR = '|';
const FORMAT = 'file | test | command and seed | always or sometimes | what was seen | number of the issue';
const FIELDS = FORMAT.split(SEPARATOR).length;
const FREQUENCIES: ReadonlySet<string> = new Set(['always', 'sometimes']);
const SEED_PATTERN = /seeds? \d/;
const ISSUE_PATTERN = /^\d+$/;

function findFault(fields: readonly string[]): string | null {
  const [, , command = '', frequency = '', , issue = ''] = fields;
  if (fields.length !== FIELDS || fields.includes('')) {
    return `not "${FORMAT}"`;
  }
  if (!SEED_PATTERN.test(command)) {
    return `the command "${command}" names no seed`;
  }
  if (!FREQUENCIES.has(frequency)) {
    return `"${frequency}" is neither "always" nor "sometimes"`;
  }
  return ISSUE_PATTERN.test(issue) ? null : `"${issue}" is not the number of an issue`;
}

/**
 * Parses the list, which has one line per fault. Throws when a line is malformed.
 *
 * @example
 * parseKnownFailures('test/a.ts | adds | npm test, seed 3 | always | the carry is lost | 7');
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  return lines.map((line, index) => {
    const fields = line.split(SEPARATOR).map((field) => field.trim());
    const fault = findFault(fields);
    if (fault !== null) {
      throw new Error(`KNOWN-RED.txt, line ${index + 1}: ${fault}`);
    }
    const [file = '', test = '', command = '', frequency, symptom = '', issue = ''] = fields;
    return { file, test, command, frequency: frequency as Frequency, symptom, issue };
  });
}

/**
 * Checks that the test of each entry exists. Throws when one does not.
 *
 * @param readFolder returns the text of all sources in the folder of a source file
 */
export function checkTestsExist(
  entries: readonly KnownFailure[],
  readFolder: (file: string) => string,
): void {
  for (const { file, test } of entries) {
    if (!readFolder(file).includes(`'${test}'`)) {
      throw new Error(`KNOWN-RED.txt: no test "${test}" beside ${file}`);
    }
  }
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
  if (!files.some((file) => isSourceOf(known.file, file))) {
    return 'not run here: by hand only';
  }
  return known.frequency === 'sometimes'
    ? 'passed this time, as it does sometimes'
    : 'PASSED: take it off the list';
}
