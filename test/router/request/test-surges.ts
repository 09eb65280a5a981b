/** Surges of routes that share servers: the urgent route is answered in time, capacity is used, and full servers get few requests. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { replaySurge, type Surge, type SurgeOutcome } from '../support/surges.js';

const MIN_URGENT_IN_TIME = 0.97;
const MIN_USED = 0.9;
const MIN_USED_WITHOUT_LEADER = 0.8;
const MAX_REJECTED = 0.03;
const DAEMONS = [20, 60];
const TOTALS = [1.5, 2, 3];
/** Demand of the urgent route, as a fraction of the capacity, by what surges. */
const URGENT_DEMAND = { lessUrgent: 0.25, both: 0.5, urgent: 0.8 } as const;

/** Outcomes by surge, since several checks read the same replay. */
const outcomes = new Map<string, SurgeOutcome>();

function outcomeOf(surge: Surge): SurgeOutcome {
  const key = JSON.stringify(surge);
  const outcome = outcomes.get(key) ?? replaySurge(surge);
  outcomes.set(key, outcome);
  return outcome;
}

/** Returns a line for each surge in which a figure is out of its bound. */
function findViolations(
  kind: keyof typeof URGENT_DEMAND,
  isLeaderLost: boolean,
  figure: keyof Omit<SurgeOutcome, 'reservedSizes'>,
  isWithin: (value: number) => boolean,
): string[] {
  const urgent = URGENT_DEMAND[kind];
  const surges = DAEMONS.flatMap((daemons) =>
    TOTALS.map((total) => ({ daemons, total, urgent, isLeaderLost })),
  );
  return surges
    .filter((surge) => !isWithin(outcomeOf(surge)[figure]))
    .map((surge) => `${surge.daemons} daemons, ${surge.total}: ${outcomeOf(surge)[figure].toFixed(3)}`);
}

const isUrgentServed = (share: number): boolean => share >= MIN_URGENT_IN_TIME;
const isRejectedSeldom = (share: number): boolean => share < MAX_REJECTED;

// The less urgent route filled the queues of all servers, and the urgent one was answered in time 0.67 of the time.
describe('a surge of the less urgent route', () => {
  it('leaves the urgent route in time', () => {
    expect(findViolations('lessUrgent', false, 'urgentInTime', isUrgentServed)).toEqual([]);
    expect(findViolations('lessUrgent', true, 'urgentInTime', isUrgentServed)).toEqual([]);
  });

  it('uses nine tenths of the capacity: lessUrgent', () => {
    expect(findViolations('lessUrgent', false, 'usedCapacity', (used) => used >= MIN_USED)).toEqual([]);
  });

  it('uses eight tenths of the capacity after the leader was lost', () => {
    const isUsed = (used: number): boolean => used >= MIN_USED_WITHOUT_LEADER;
    expect(findViolations('lessUrgent', true, 'usedCapacity', isUsed)).toEqual([]);
  });
});

describe('a surge of both routes', () => {
  it('leaves the more urgent of both in time', () => {
    expect(findViolations('both', false, 'urgentInTime', isUrgentServed)).toEqual([]);
  });

  it('uses nine tenths of the capacity: both', () => {
    expect(findViolations('both', false, 'usedCapacity', (used) => used >= MIN_USED)).toEqual([]);
  });

  it('uses capacity after the leader was lost: both', () => {
    const isUsed = (used: number): boolean => used >= MIN_USED_WITHOUT_LEADER;
    expect(findViolations('both', true, 'usedCapacity', isUsed)).toEqual([]);
  });
});

describe('a surge of the urgent route', () => {
  it('is answered in time while it fits', () => {
    expect(findViolations('urgent', false, 'urgentInTime', isUrgentServed)).toEqual([]);
  });

  it('uses nine tenths of the capacity: urgent', () => {
    expect(findViolations('urgent', false, 'usedCapacity', (used) => used >= MIN_USED)).toEqual([]);
  });

  it('uses capacity after the leader was lost: urgent', () => {
    const isUsed = (used: number): boolean => used >= MIN_USED_WITHOUT_LEADER;
    expect(findViolations('urgent', true, 'usedCapacity', isUsed)).toEqual([]);
  });
});

// Servers rejected 21 in 100 sends while a server without a recent report was assumed to be idle.
describe('servers without a fault', () => {
  const expectFewRejections = (kind: keyof typeof URGENT_DEMAND): void => {
    expect(findViolations(kind, false, 'rejected', isRejectedSeldom)).toEqual([]);
    expect(findViolations(kind, true, 'rejected', isRejectedSeldom)).toEqual([]);
  };

  it('reject few requests in a surge: lessUrgent', () => expectFewRejections('lessUrgent'));
  it('reject few requests in a surge: both', () => expectFewRejections('both'));
  it('reject few requests in a surge: urgent', () => expectFewRejections('urgent'));
});
