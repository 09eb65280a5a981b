import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../src/core/random.js';
import { KeySampler } from '../../src/load/key-sampler.js';

function mostPopular(sampler: KeySampler): string {
  const counts = new Map<string, number>();
  for (let draw = 0; draw < 5_000; draw += 1) {
    const key = sampler.next();
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].sort((left, right) => right[1] - left[1])[0]?.[0] ?? '';
}

describe('key sampler', () => {
  it('draws one key most often, and another one after a change of the hot keys', () => {
    const sampler = new KeySampler(100, 1, new SeededRandom(4));
    expect(mostPopular(sampler)).toEqual('key-0');
    sampler.changeHotKeys();
    expect(mostPopular(sampler) === 'key-0').toEqual(false);
  });
});
