import { expect } from 'earl';
import { describe, it } from 'node:test';
import { isListed, parseKnownFailures, describeEntry } from './known-failures.js';

const LINE = 'test/router/test-a.ts | adds | the carry is lost | issue 7';

describe('the list of known failures', () => {
  it('parses a test, its cause and its issue from each line', () => {
    const known = {
      file: 'test/router/test-a.ts',
      test: 'adds',
      cause: 'the carry is lost',
      issue: 'issue 7',
    };
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

  it('rejects a malformed line by its number, and too many lines', () => {
    expect(() => parseKnownFailures(`${LINE}\ntest/b.ts | adds`)).toThrow('line 2');
    expect(() => parseKnownFailures(Array(4).fill(LINE).join('\n'))).toThrow('4 lines');
  });
});
