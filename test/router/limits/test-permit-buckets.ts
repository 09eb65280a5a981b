import { expect } from 'earl';
import { describe, it } from 'node:test';
import { PermitBuckets } from '../../../src/router/limits/permit-buckets.js';
import type { PermitAnswer, PermitAsk } from '../../../src/router/limits/permit-messages.js';

const RATE = 2;

function ask(requestId: number, wait: number, priority = 1): PermitAsk {
  return { kind: 'permitAsk', server: 's1', daemon: 'd1', requestId, priority, wait, path: [7, requestId] };
}

/** Returns buckets whose accumulated tokens are used up. */
function emptyBuckets(): PermitBuckets {
  const buckets = new PermitBuckets();
  buckets.requestPermit(ask(1, 0), RATE, 0);
  buckets.requestPermit(ask(2, 0), RATE, 1_000);
  buckets.requestPermit(ask(3, 0), RATE, 1_000);
  return buckets;
}

function granted(answers: readonly PermitAnswer[]): number[] {
  return answers.filter((answer) => answer.granted).map(({ requestId }) => requestId);
}

describe('the token buckets of permits', () => {
  it('accumulate at most two tokens while idle', () => {
    const buckets = new PermitBuckets();
    expect(granted(buckets.requestPermit(ask(1, 0), RATE, 0))).toEqual([]);
    const answers = [2, 3, 4].flatMap((id) => buckets.requestPermit(ask(id, 0), RATE, 60_000));
    expect(granted(answers)).toEqual([2, 3]);
  });

  it('deny at once a request that cannot be granted in time, and say when a permit may be available', () => {
    const buckets = emptyBuckets();
    const [answer] = buckets.requestPermit(ask(4, 300), RATE, 1_000);
    expect(answer?.granted).toEqual(false);
    expect(answer?.nextPlaceIn).toEqual(500);
    expect(answer?.path).toEqual([7, 4]);
  });

  it('queue a request that can be granted in time', () => {
    const buckets = emptyBuckets();
    expect(buckets.requestPermit(ask(4, 600), RATE, 1_000)).toEqual([]);
    expect(buckets.tick(() => RATE, 1_400)).toEqual([]);
    expect(granted(buckets.tick(() => RATE, 1_500))).toEqual([4]);
  });

  it('grant more urgent requests first, and deny at once those that can then no longer be granted in time', () => {
    const buckets = emptyBuckets();
    buckets.requestPermit(ask(4, 600, 1), RATE, 1_000);
    const answers = buckets.requestPermit(ask(5, 600, 0), RATE, 1_010);
    expect(answers.map(({ requestId, granted: isGranted }) => [requestId, isGranted])).toEqual([[4, false]]);
    expect(granted(buckets.tick(() => RATE, 1_500))).toEqual([5]);
  });

  it('grant requests that expire earlier first', () => {
    const buckets = emptyBuckets();
    buckets.requestPermit(ask(4, 1_100), RATE, 1_000);
    buckets.requestPermit(ask(5, 600), RATE, 1_000);
    expect(granted(buckets.tick(() => RATE, 1_500))).toEqual([5]);
    expect(granted(buckets.tick(() => RATE, 2_000))).toEqual([4]);
  });

  it('deny a queued request that expires', () => {
    const buckets = emptyBuckets();
    buckets.requestPermit(ask(4, 600), RATE, 1_000);
    const [answer] = buckets.tick(() => RATE / 100, 1_700);
    expect([answer?.requestId, answer?.granted]).toEqual([4, false]);
  });

  it('grant all requests for a server that no longer announces a limit', () => {
    const buckets = emptyBuckets();
    buckets.requestPermit(ask(4, 600), RATE, 1_000);
    expect(granted(buckets.tick(() => null, 1_010))).toEqual([4]);
    expect(granted(buckets.requestPermit(ask(5, 0), null, 1_020))).toEqual([5]);
  });

  it('report the rate at which each daemon was recently granted permits', () => {
    const buckets = new PermitBuckets();
    buckets.requestPermit(ask(1, 0), RATE, 0);
    for (let at = 500; at <= 4_500; at += 500) {
      buckets.requestPermit(ask(at, 0), RATE, at);
    }
    expect(buckets.grantRates('s1', 4_500)).toEqual(new Map([['d1', RATE]]));
    expect(buckets.grantRates('s1', 60_000)).toEqual(new Map());
  });
});
