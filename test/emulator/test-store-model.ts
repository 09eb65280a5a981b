import { expect } from 'earl';
import { describe, it } from 'node:test';
import { StoreModel } from '../../src/emulator/store-model.js';

describe('store model', () => {
  it('writes only over the expected version and returns the current object on a conflict', () => {
    const store = new StoreModel();
    expect(store.write('o', 0, 'one', 'A')).toEqual({ kind: 'written', version: 1 });
    const conflict = store.write('o', 0, 'two', 'B');
    expect(conflict).toEqual({ kind: 'conflict', current: { version: 1, value: 'A', writeId: 'one' } });
    expect(store.read('nothing').version).toEqual(0);
  });

  it('wakes each watch for a newer version once, unless it is cancelled', () => {
    const store = new StoreModel();
    let woken = 0;
    store.waitForNewer('o', 0, () => (woken += 1));
    const cancel = store.waitForNewer('o', 0, () => (woken += 10));
    cancel();
    store.write('o', 0, 'one', 'A');
    store.write('o', 1, 'two', 'B');
    expect([woken, store.watchCount]).toEqual([1, 0]);
  });
});
