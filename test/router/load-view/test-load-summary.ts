import { expect } from 'earl';
import { describe, it } from 'node:test';
import {
  createLoadCounts,
  demandOf,
  groupOf,
  type LoadCounts,
} from '../../../src/router/load-view/load-counts.js';
import { summarizeLoad, viewOfSummary } from '../../../src/router/load-view/load-summary.js';
import { WorkTimes } from '../../../src/router/load-view/work-times.js';

function counts(): LoadCounts {
  const result = createLoadCounts();
  demandOf(result, 2).requests = 10;
  demandOf(result, 0).requests = 50;
  Object.assign(groupOf(result, false), { readings: 4, load: 6, slots: 8 });
  return result;
}

describe('the summary of counts', () => {
  it('states demand in busy slots and the mean load of a server', () => {
    const workTimeOf = (priority: number): number => (priority === 0 ? 48 : 300);
    const view = viewOfSummary(summarizeLoad({ counts: counts(), span: 500 }, 1, workTimeOf), 'fleet');
    expect(view.priorities).toEqual([0, 2]);
    expect(view.demandSlots(0)).toEqual(0.1 * 48);
    expect(view.demandSlots(2)).toEqual(0.02 * 300);
    expect(view.demandSlots(1)).toEqual(0);
    expect(view.meanLoad(false)).toEqual(1.5);
    expect(view.meanLoad(true)).toEqual(null);
  });

  // Guards against a demand that falls when a relay is lost with the daemons behind it.
  it('scales demand, but not the mean load, to daemons that did not count', () => {
    const summary = summarizeLoad({ counts: counts(), span: 500 }, 1.5, () => 100);
    expect(summary.demandSlots.get(0)).toEqual(15);
    expect(summary.meanLoads.get(false)).toEqual(1.5);
  });

  // Guards against a huge demand when the first report of a daemon covers next to no time.
  it('takes counts over very little time to cover 100 ms', () => {
    const summary = summarizeLoad({ counts: counts(), span: 1 }, 1, () => 100);
    expect(summary.demandSlots.get(0)).toEqual(50);
  });
});

describe('mean work times', () => {
  function answers(answered: number, workTime: number): Map<string, LoadCounts> {
    const result = createLoadCounts();
    Object.assign(demandOf(result, 0), { answered, workTime });
    return new Map([['logs', result]]);
  }

  it('weighs recent answers more than earlier ones', () => {
    const times = new WorkTimes();
    times.add(answers(10, 1_000), 0);
    expect(times.meanOf('logs', 0)).toEqual(100);
    times.add(answers(10, 3_000), 0);
    expect(times.meanOf('logs', 0)).toEqual(200);
    times.add(answers(10, 500), 30_000);
    expect(Math.round(times.meanOf('logs', 0) ?? 0)).toEqual(50);
  });

  // Guards against a demand of zero while all servers are full and no request finds a free slot.
  it('keeps the mean without new answers', () => {
    const times = new WorkTimes();
    times.add(answers(10, 1_000), 0);
    times.add(answers(0, 0), 600_000);
    expect(times.meanOf('logs', 0)).toEqual(100);
    expect(times.meanOf('logs', 1)).toEqual(null);
  });
});
