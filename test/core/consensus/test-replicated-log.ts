import { expect } from 'earl';
import { describe, it } from 'node:test';
import { ReplicatedLog } from '../../../src/core/consensus/replicated-log.js';
import { createEmptyChange, type LogEntry } from '../../../src/core/messages.js';

function entry(term: number, replicas: string[] = []): LogEntry {
  return { term, change: createEmptyChange(), replicas };
}

describe('replicated log', () => {
  it('restores the previous replica set when the entry that changed it is truncated', () => {
    const log = new ReplicatedLog(0, 0, ['a#1', 'b#1']);
    log.append(entry(1));
    log.append(entry(1, ['a#1']));
    expect(log.replicas).toEqual(['a#1']);
    log.truncateFrom(2);
    expect([log.replicas, log.lastIndex, log.lastTerm]).toEqual([['a#1', 'b#1'], 1, 1]);
  });

  it('keeps the terms and replica sets of compacted entries', () => {
    const log = new ReplicatedLog(0, 0, ['a#1']);
    [entry(1), entry(1, ['a#1', 'b#1']), entry(2), entry(3)].forEach((each) => log.append(each));
    log.compactTo(3);
    expect([log.baseIndex, log.termAt(3), log.termAt(2), log.lastTerm]).toEqual([3, 2, undefined, 3]);
    expect(log.replicasAt(3)).toEqual(['a#1', 'b#1']);
    expect(log.entriesFrom(4, 10).length).toEqual(1);
  });
});
