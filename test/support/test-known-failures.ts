import { expect } from 'earl';
import { describe, it } from 'node:test';
import { checkTestsExist, isListed, parseKnownFailures, describeEntry } from './known-failures.js';

const FIELDS = ['test/router/test-a.ts', 'adds', 'npm test, seed 3', 'always', 'the carry is lost', '7'];
const LINE = FIELDS.join(' | ');

/** Returns the line with one field replaced. */
function lineWith(index: number, field: string): string {
  return FIELDS.map((original, position) => (position === index ? field : original)).join(' | ');
}

describe('the list of known failures', () => {
  it('parses a test, its command, frequency, symptom and issue from each line', () => {
    const known = {
      file: 'test/router/test-a.ts',
      test: 'adds',
      command: 'npm test, seed 3',
      frequency: 'always',
      symptom: 'the carry is lost',
      issue: '7',
    } as const;
    expect(parseKnownFailures(`${LINE}\n\n`)).toEqual([known]);
    expect(parseKnownFailures('')).toEqual([]);
  });

  it('matches only the failure of the test that an entry names', () => {
    const [known] = parseKnownFailures(LINE);
    const matches = (file: string, test: string): boolean =>
      known !== undefined && isListed({ file, test }, known);
    expect(matches('/tree/dist/test/router/test-a.js', 'adds')).toEqual(true);
    expect(matches('/tree/dist/test/router/test-a.js', 'adds up')).toEqual(false);
    expect(matches('/tree/dist/test/router/test-b.js', 'adds')).toEqual(false);
  });

  it('distinguishes a test that passed from one whose file was not run', () => {
    const [known] = parseKnownFailures(LINE);
    const [file, otherFile] = ['/tree/dist/test/router/test-a.js', '/tree/dist/test/router/test-b.js'];
    const stateAfter = (files: string[], ...failed: string[]): string | undefined => {
      const failures = failed.map((test) => ({ file, test }));
      return known && describeEntry(known, files, failures);
    };
    expect(stateAfter([file, otherFile], 'adds')).toEqual('fails as listed');
    expect(stateAfter([file, otherFile])).toEqual('PASSED: take it off the list');
    expect(stateAfter([file, otherFile], 'adds up')).toEqual('PASSED: take it off the list');
    expect(stateAfter([otherFile])).toEqual('not run here: by hand only');
    expect(stateAfter([])).toEqual('not run here: by hand only');
  });

  // One pass of a test that fails sometimes is no reason to take it off the list.
  it('keeps an entry whose test fails sometimes and passed', () => {
    const [known] = parseKnownFailures(lineWith(3, 'sometimes'));
    expect(known && describeEntry(known, ['/tree/dist/test/router/test-a.js'], [])).toEqual(
      'passed this time, as it does sometimes',
    );
  });

  it('rejects a line that lacks a field, a seed, a frequency or the number of an issue, by its number', () => {
    const malformed: readonly (readonly [string, string])[] = [
      ['test/b.ts | adds', 'not "file'],
      [lineWith(4, ''), 'not "file'],
      [lineWith(2, 'npm test'), 'names no seed'],
      [lineWith(3, 'often'), 'neither "always" nor "sometimes"'],
      [lineWith(5, 'soon'), 'not the number of an issue'],
    ];
    for (const [line, message] of malformed) {
      expect(() => parseKnownFailures(`${LINE}\n${line}`)).toThrow('line 2');
      expect(() => parseKnownFailures(line)).toThrow(message);
    }
  });

  // A limit on the number of lines had two faults share one line and others go unlisted.
  it('has one line for each fault, however many there are', () => {
    expect(parseKnownFailures(Array(9).fill(LINE).join('\n')).length).toEqual(9);
  });

  it('rejects an entry whose test does not exist', () => {
    const entries = parseKnownFailures(LINE);
    checkTestsExist(entries, (file) => (file === 'test/router/test-a.ts' ? "it('adds', () => {" : ''));
    expect(() => checkTestsExist(entries, () => "it('adds up', () => {")).toThrow('no test "adds"');
  });
});
