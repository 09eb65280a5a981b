import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import { parseLoad } from '../../platform/load-header.js';

describe('load header', () => {
  it('has three fields and an optional fourth one for the slowdown', () => {
    expect(parseLoad('3,1,4')).toEqual({ running: 3, waiting: 1, slots: 4, slowdown: null });
    expect(parseLoad('3,1,4,250')).toEqual({ running: 3, waiting: 1, slots: 4, slowdown: 2.5 });
  });

  // A pattern that matched exactly three fields would make every daemon reject the header once servers add a field.
  it('ignores unknown additional fields', () => {
    expect(parseLoad('3, 1, 4, 100, 7, later')).toEqual({ running: 3, waiting: 1, slots: 4, slowdown: 1 });
  });

  it('is malformed unless the first three fields are valid', () => {
    for (const value of [
      '',
      '3',
      '3,1',
      '3,1,',
      '-1,0,3',
      '3,x,4',
      '1e3,0,2',
      '3,1,0',
      '99999999,0,2',
      ',,,',
    ]) {
      expect(parseLoad(value)).toEqual(null);
    }
  });

  it('has no slowdown if the fourth field is malformed or implausible', () => {
    for (const value of ['3,1,4,', '3,1,4,0', '3,1,4,-5', '3,1,4,fast', '3,1,4,999999999']) {
      expect(parseLoad(value)?.slowdown).toEqual(null);
    }
  });

  it('never throws and never yields a count that is not an integer', () => {
    fc.assert(
      fc.property(fc.string(), (value) => {
        const load = parseLoad(value);
        return load === null || [load.running, load.waiting, load.slots].every(Number.isSafeInteger);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
