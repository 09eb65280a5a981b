/** Guards against a queue that grows with a surge, and against urgent requests that wait behind others. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import {
  blocks,
  HeldRequests,
  type HoldableRequest,
  MAX_HELD_REQUESTS,
  type OrderingTimes,
} from '../../../src/router/request/held-requests.js';

const URGENT = { priority: 0, latencyObjective: 250 };
const BULK = { priority: 2, latencyObjective: 1_500 };
const TIMES: OrderingTimes<HoldableRequest> = { now: 1_000, responseTimeOf: () => 100 };

function createRequest(id: number, route: HoldableRequest['route'], arrivedAt = 1_000): HoldableRequest {
  return { id, arrivedAt, turnAt: arrivedAt, route };
}

function idsOf(held: HeldRequests<HoldableRequest>, times = TIMES): number[] {
  return held.inOrder(times).map(({ id }) => id);
}

describe('held requests', () => {
  it('are ordered by priority before anything else', () => {
    const held = new HeldRequests<HoldableRequest>();
    held.add(createRequest(1, BULK, 200), TIMES);
    held.add(createRequest(2, URGENT, 999), TIMES);
    // Can't be in time any more, and is still ahead of the less urgent one.
    held.add(createRequest(3, URGENT, 800), TIMES);
    expect(idsOf(held)).toEqual([2, 3, 1]);
  });

  it('are in the order of arrival within one route', () => {
    const held = new HeldRequests<HoldableRequest>();
    [5, 3, 9, 1].forEach((id, index) => held.add(createRequest(id, BULK, 900 + index), TIMES));
    expect(idsOf(held)).toEqual([5, 3, 9, 1]);
  });

  it('are behind those that can still be in time once they can not', () => {
    const held = new HeldRequests<HoldableRequest>();
    held.add(createRequest(1, URGENT, 950), TIMES);
    held.add(createRequest(2, URGENT, 1_000), TIMES);
    expect(idsOf(held)).toEqual([1, 2]);
    expect(idsOf(held, { now: 1_000, responseTimeOf: () => 220 })).toEqual([2, 1]);
  });

  it('are bounded: the last one has no place', () => {
    const held = new HeldRequests<HoldableRequest>();
    for (let id = 1; id <= MAX_HELD_REQUESTS; id += 1) {
      expect(held.add(createRequest(id, BULK, 900 + id), TIMES)).toEqual(null);
    }
    expect(held.add(createRequest(100, BULK, 990), TIMES)?.id).toEqual(100);
    expect(held.size).toEqual(MAX_HELD_REQUESTS);
  });

  it('give their place to a more urgent one, the last one first', () => {
    const held = new HeldRequests<HoldableRequest>();
    for (let id = 1; id <= MAX_HELD_REQUESTS; id += 1) {
      held.add(createRequest(id, BULK, 900 + id), TIMES);
    }
    expect(held.add(createRequest(100, URGENT), TIMES)?.id).toEqual(MAX_HELD_REQUESTS);
    expect(held.add(createRequest(101, URGENT), TIMES)?.id).toEqual(MAX_HELD_REQUESTS - 1);
    expect(idsOf(held).slice(0, 3)).toEqual([100, 101, 1]);
  });

  // With a queue that is too long for the shorter objective, the longer one may still be kept.
  it('without room hold up others only for less urgent routes and for objectives that are not longer', () => {
    const patient = { priority: 0, latencyObjective: 900 };
    expect(blocks(createRequest(1, URGENT), createRequest(2, BULK))).toEqual(true);
    expect(blocks(createRequest(1, URGENT), createRequest(2, URGENT))).toEqual(true);
    expect(blocks(createRequest(1, patient), createRequest(2, URGENT))).toEqual(true);
    expect(blocks(createRequest(1, URGENT), createRequest(2, patient))).toEqual(false);
    expect(blocks(createRequest(1, BULK), createRequest(2, URGENT))).toEqual(false);
  });
});
