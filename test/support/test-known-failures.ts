import { expect } from 'earl';
import { describe, it } from 'node:test';
import { isKnown, parseKnownFailures, stateOfKnown } from './known-failures.js';

const LINE = 'test/router/test-a.ts | adds | the carry is lost | issue 7';

describe('the list of known failures', () => {
  it('names a test, its cause and its issue', () => {
    const known = {
      file: 'test/router/test-a.ts',
      test: 'adds',
      cause: 'the carry is lost',
      issue: 'issue 7',
    };
    expect(parseKnownFailures(`${LINE}\n\n`)).toEqual([known]);
    expect(parseKnownFailures('')).toEqual([]);
  });

  it('covers just the test that it names', () => {
    const [known] = parseKnownFailures(LINE);
    const covers = (file: string, test: string): boolean =>
      known !== undefined && isKnown({ file, test }, known);
    expect(covers('/tree/dist/test/router/test-a.js', 'adds')).toEqual(true);
    expect(covers('/tree/dist/test/router/test-a.js', 'adds up')).toEqual(false);
    expect(covers('/tree/dist/test/router/test-b.js', 'adds')).toEqual(false);
  });

  it('tells a test that passed from one whose file was not run', () => {
    const [known] = parseKnownFailures(LINE);
    const [file, other] = ['/tree/dist/test/router/test-a.js', '/tree/dist/test/router/test-b.js'];
    const stateAfter = (files: string[], ...failed: string[]): string | undefined => {
      const failures = failed.map((test) => ({ file, test }));
      return known && stateOfKnown(known, files, failures);
    };
    expect(stateAfter([file, other], 'adds')).toEqual('fails as listed');
    expect(stateAfter([file, other])).toEqual('PASSED: take it off the list');
    expect(stateAfter([file, other], 'adds up')).toEqual('PASSED: take it off the list');
    expect(stateAfter([other])).toEqual('not run here: by hand only');
    expect(stateAfter([])).toEqual('not run here: by hand only');
  });

  it('says which line is malformed, and when there are too many', () => {
    expect(() => parseKnownFailures(`${LINE}\ntest/b.ts | adds`)).toThrow('line 2');
    expect(() => parseKnownFailures(Array(4).fill(LINE).join('\n'))).toThrow('4 lines');
  });
});
