import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import { ServerChangeHistory } from '../../../src/router/news/server-change-history.js';
import type { ServerChange } from '../../../src/router/peers/messages.js';
import { toAddress } from '../../support/addresses.js';

function change(id: string, revision: number, removed: boolean): ServerChange {
  const place = { service: 'racks', address: toAddress('10.0.0.1:80'), zone: 'z', slots: 2 };
  const server = { id, ...place, draining: false, warmupLeft: 0, listedAt: 1, revision };
  return { id, server: removed ? null : server };
}

function apply(servers: Map<string, number>, changes: readonly ServerChange[]): void {
  for (const { id, server } of changes) {
    if (server === null) {
      servers.delete(id);
    } else {
      servers.set(id, server.revision);
    }
  }
}

/** Batches of changes: for each change the number of the server, and whether it is removed. */
const BATCHES = fc.array(fc.array(fc.tuple(fc.nat(5), fc.boolean()), { minLength: 1, maxLength: 4 }), {
  maxLength: 300,
});

describe('the history of servers', () => {
  it('brings a daemon at an earlier revision to the same servers as a daemon that saw every change', () => {
    fc.assert(
      fc.property(BATCHES, fc.nat(300), (batches, missedAfter) => {
        const history = new ServerChangeHistory();
        history.reset(1);
        const whole = new Map<string, number>();
        const behind = new Map<string, number>();
        batches.forEach((batch, index) => {
          const revision = index + 2;
          const changes = batch.map(([id, removed]) => change(`s${id}`, revision, removed));
          history.append(revision, changes);
          apply(whole, changes);
          if (index < missedAfter) {
            apply(behind, changes);
          }
        });
        const known = 1 + Math.min(missedAfter, batches.length);
        const missed = history.changesSince(known);
        // Changes may be missing only when they are no longer kept.
        expect(missed !== null || batches.length - missedAfter > 250).toEqual(true);
        if (missed !== null) {
          apply(behind, missed.changes);
          expect([...behind].sort()).toEqual([...whole].sort());
          expect(missed.revision).toEqual(1 + batches.length);
        }
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  it('holds nothing before the first list', () => {
    expect(new ServerChangeHistory().changesSince(0)).toEqual(null);
  });
});
