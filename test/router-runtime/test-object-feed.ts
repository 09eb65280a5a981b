import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { FeedChange, FeedSource, ListOutcome, WatchOutcome } from '../../src/router/ports.js';
import { CONFIRMATION_WATCH, type WatchTiming } from '../../src/router/news/store-watch-timing.js';
import type { FeedAnswer, FeedFailure } from '../../src/router-runtime/feed-listener.js';
import { ObjectFeed } from '../../src/router-runtime/object-feed.js';
import { VirtualClock } from '../router/support/virtual-clock.js';

const WAIT = 500;
const EMPTY: WatchOutcome<string> = { kind: 'changes', changes: [], revision: 9 };

interface Call {
  readonly revision: number | null;
  readonly wait: number;
  isCancelled: boolean;
  readonly list: (outcome: ListOutcome<string>) => void;
  readonly watch: (outcome: WatchOutcome<string>) => void;
  readonly overdue: () => void;
}

let clock: VirtualClock;
let calls: Call[];
let confirmations: (number | null)[];
let answers: FeedAnswer[];
let failures: FeedFailure[];
/** Contents of lists and changes, as they were reported. */
let reports: (readonly ['list' | 'changes', readonly string[], number])[];
let isLoopTimely: boolean;
let feed: ObjectFeed<string>;

const ignore = (): undefined => undefined;

function addCall(call: Omit<Call, 'isCancelled'>): () => void {
  const added = { ...call, isCancelled: false };
  calls.push(added);
  return () => {
    added.isCancelled = true;
  };
}

const source: FeedSource<string> = {
  name: 'items',
  list: (done) => addCall({ revision: null, wait: 0, list: done, watch: ignore, overdue: ignore }),
  watch: (revision, { wait }: WatchTiming, done, onOverdue) =>
    addCall({ revision, wait, list: ignore, watch: done, overdue: onOverdue }),
};

function createFeed(): ObjectFeed<string> {
  const listener = {
    onList: (items: readonly FeedChange<string>[], revision: number) =>
      reports.push(['list', items.map(({ id }) => id), revision]),
    onChanges: (changes: readonly FeedChange<string>[], revision: number) =>
      reports.push(['changes', changes.map(({ id }) => id), revision]),
    onAnswer: (answer: FeedAnswer) => {
      answers.push(answer);
      confirmations.push(answer.confirmedAt);
    },
    onFailure: (failure: FeedFailure) => failures.push(failure),
  };
  const timers = {
    now: () => clock.now,
    after: (delay: number, action: () => void) => {
      let isCancelled = false;
      clock.schedule(delay, () => (isCancelled ? undefined : action()));
      return () => {
        isCancelled = true;
      };
    },
  };
  return new ObjectFeed(source, listener, {
    timers,
    watchTiming: () => ({ wait: WAIT, dueTime: null, timeout: WAIT + 600 }),
    isLoopTimely: () => isLoopTimely,
  });
}

describe('what a call to the store confirms', () => {
  beforeEach(() => {
    clock = new VirtualClock();
    calls = [];
    confirmations = [];
    answers = [];
    failures = [];
    reports = [];
    isLoopTimely = true;
    feed = createFeed();
    clock.runUntil(1_000);
  });

  it('is the time when a list was called for, however late its response is read', () => {
    feed.start(null);
    clock.runUntil(2_500);
    calls[0]?.list({ kind: 'listed', items: [], revision: 7 });
    expect(confirmations).toEqual([1_000]);
  });

  it('is the end of the wait of a watch without changes', () => {
    feed.start(5);
    clock.runUntil(1_900);
    calls[0]?.watch(EMPTY);
    expect(confirmations).toEqual([1_000 + WAIT]);
  });

  it('is the start of a watch that was answered early, or with changes', () => {
    feed.start(5);
    clock.runUntil(1_300);
    calls[0]?.watch(EMPTY);
    clock.runUntil(2_000);
    const startedAt = 1_450;
    calls[1]?.watch({ kind: 'changes', changes: [{ id: 'a', item: 'x' }], revision: 8 });
    expect(confirmations).toEqual([1_000, startedAt]);
  });

  it('is nothing when the history is gone: the feed is listed', () => {
    feed.confirm(5);
    calls[0]?.watch({ kind: 'forgotten' });
    expect(confirmations).toEqual([null]);
    clock.runUntil(1_500);
    expect(calls.map(({ revision }) => revision)).toEqual([5, null]);
  });
});

describe('objects that can not be read', () => {
  beforeEach(() => {
    clock = new VirtualClock();
    calls = [];
    confirmations = [];
    answers = [];
    failures = [];
    reports = [];
    isLoopTimely = true;
    feed = createFeed();
  });

  // The same change was returned again at once, at each call, for as long as there was no other.
  it('are passed by a watch whose only change has no readable name', () => {
    feed.start(5);
    calls[0]?.watch({ kind: 'changes', changes: [], hasUnnamed: true, revision: 9 });
    clock.runUntil(1_000);
    expect(calls.map(({ revision }) => revision)).toEqual([5, 9]);
    expect(reports).toEqual([['changes', [], 9]]);
  });

  // Items behind an object that the list could not be continued behind were taken as removed.
  it('do not remove items that a part of the list does not contain', () => {
    feed.start(null);
    calls[0]?.list({ kind: 'listedPartly', items: [{ id: 'a', item: 'x' }], revision: 7 });
    clock.runUntil(1_000);
    expect(reports).toEqual([['changes', ['a'], 7]]);
    expect(calls.map(({ revision }) => revision)).toEqual([null, 7]);
  });
});

describe('a confirmation that is asked for', () => {
  beforeEach(() => {
    clock = new VirtualClock();
    calls = [];
    confirmations = [];
    answers = [];
    failures = [];
    reports = [];
    isLoopTimely = true;
    feed = createFeed();
  });

  it('replaces a watch in flight by one that is answered at once', () => {
    feed.start(5);
    clock.runUntil(300);
    feed.confirm(6);
    expect(calls.map(({ revision, wait, isCancelled }) => [revision, wait, isCancelled])).toEqual([
      [5, WAIT, true],
      [6, CONFIRMATION_WATCH.wait, false],
    ]);
    calls[1]?.watch(EMPTY);
    clock.runUntil(1_000);
    expect(calls[2]?.wait).toEqual(WAIT);
  });

  it('is not asked for again while its response may be arriving', () => {
    feed.confirm(5);
    clock.runUntil(900);
    feed.confirm(5);
    expect(calls.map(({ isCancelled }) => isCancelled)).toEqual([false]);
    calls[0]?.watch(EMPTY);
    expect(confirmations.length).toEqual(1);
  });

  // Each confirmation was given up after 400 ms, so a store that took 450 ms confirmed nothing, and daemons refused all requests.
  it('is asked for beside an overdue one, whose response still counts', () => {
    feed.confirm(5);
    clock.runUntil(400);
    calls[0]?.overdue();
    expect(failures.map(({ waited, isConclusive }) => [waited, isConclusive])).toEqual([[400, true]]);
    clock.runUntil(500);
    feed.confirm(5);
    expect(calls.map(({ isCancelled }) => isCancelled)).toEqual([false, false]);
    clock.runUntil(700);
    calls[0]?.watch(EMPTY);
    clock.runUntil(800);
    calls[1]?.watch(EMPTY);
    const { wait } = CONFIRMATION_WATCH;
    expect(answers).toEqual([
      { sentAt: 0, confirmedAt: wait, responseTime: 700 - wait, isOverdue: true },
      { sentAt: 500, confirmedAt: 500 + wait, responseTime: 300 - wait, isOverdue: false },
    ]);
  });

  it('leaves no more than two overdue ones in flight', () => {
    for (let call = 0; call < 4; call += 1) {
      feed.confirm(5);
      calls[call]?.overdue();
    }
    expect(calls.map(({ isCancelled }) => isCancelled)).toEqual([true, false, false, false]);
    feed.close();
    expect(calls.every(({ isCancelled }) => isCancelled)).toEqual(true);
  });

  it('lists when the store has forgotten the revision, however soon it is asked for again', () => {
    feed.confirm(5);
    calls[0]?.watch({ kind: 'forgotten' });
    feed.confirm(5);
    expect(calls.map(({ revision }) => revision)).toEqual([5, null]);
  });

  it('is the only call when the feed is not followed', () => {
    feed.confirm(5);
    calls[0]?.watch(EMPTY);
    clock.runUntil(5_000);
    expect(calls.length).toEqual(1);
  });

  it('fails conclusively only without any response, and while the event loop is not behind', () => {
    const cases: readonly (readonly [boolean, boolean])[] = [
      [false, true],
      [true, true],
      [false, false],
    ];
    for (const [isResponding, isTimely] of cases) {
      isLoopTimely = isTimely;
      feed.confirm(5);
      calls.at(-1)?.watch({ kind: 'failed', reason: 'no answer', isResponding });
      clock.runUntil(clock.now + 5_000);
    }
    expect(failures.map(({ isConclusive }) => isConclusive)).toEqual([true, false, false]);
  });
});
