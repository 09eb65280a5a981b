/**
 * Objects of one kind in the simulated store, which daemons list and watch. A call that arrives while the store is down is
 * never answered, even after the store has recovered: the caller waits until its own timeout.
 */
import type { Milliseconds } from '../../../src/router/model/identifiers.js';
import type {
  CancelCall,
  FeedChange,
  FeedSource,
  ListOutcome,
  WatchOutcome,
} from '../../../src/router/ports.js';
import type { WatchTiming } from '../../../src/router/news/store-watch-timing.js';
import type { SimulatedStore } from './simulated-store.js';
import type { VirtualClock } from './virtual-clock.js';

/** Timeout of a list call, as in the platform's adapter. */
const LIST_TIMEOUT: Milliseconds = 1_500;
/** The longest time until watchers are notified of a change. */
const MAX_NOTIFICATION_DELAY: Milliseconds = 12;
const NOTIFICATION_RETRY: Milliseconds = 50;

interface Change<Item> extends FeedChange<Item> {
  readonly revision: number;
}

/** One call of a daemon. It reports its outcome once, and none after it was cancelled. */
class SimulatedCall<Outcome> {
  #open = true;
  readonly #done: (outcome: Outcome) => void;

  constructor(done: (outcome: Outcome) => void) {
    this.#done = done;
  }

  get isOpen(): boolean {
    return this.#open;
  }

  finish(outcome: Outcome): void {
    if (this.#open) {
      this.#open = false;
      this.#done(outcome);
    }
  }

  cancel(): void {
    this.#open = false;
  }
}

interface Watcher<Item> {
  readonly revision: number;
  readonly call: SimulatedCall<WatchOutcome<Item>>;
  readonly isReachable: () => boolean;
}

export class SimulatedFeed<Item> {
  readonly name: string;
  /** Numbers of list and watch calls so far. */
  listCalls = 0;
  watchCalls = 0;
  readonly #clock: VirtualClock;
  readonly #store: SimulatedStore;
  readonly #items = new Map<string, Item>();
  #changes: Change<Item>[] = [];
  #watchers: Watcher<Item>[] = [];
  #notificationsPausedUntil = Number.NEGATIVE_INFINITY;
  /** Changes up to this revision are no longer in the history. */
  #compactedRevision = 0;
  #isNotificationScheduled = false;

  constructor(name: string, clock: VirtualClock, store: SimulatedStore) {
    this.name = name;
    this.#clock = clock;
    this.#store = store;
  }

  /** Writes an object, or removes it when the item is null. Returns the store's revision of the change. */
  put(id: string, item: Item | null): number {
    const revision = this.#store.nextRevision();
    if (item === null) {
      this.#items.delete(id);
    } else {
      this.#items.set(id, item);
    }
    this.#changes.push({ id, item, revision });
    this.#clock.schedule(0, () => this.#notify());
    return revision;
  }

  /** Makes the connections of all waiting watches unresponsive: the watches end without a response. */
  blockWatches(): void {
    this.#watchers = [];
  }

  /** Stops notifications for a time, then drops the history and breaks all waiting watches. */
  dropHistory(pause: Milliseconds): void {
    this.#notificationsPausedUntil = this.#clock.now + pause;
    this.#clock.schedule(pause, () => {
      this.#changes = [];
      this.#compactedRevision = this.#store.revision;
      const watchers = this.#watchers;
      this.#watchers = [];
      watchers.forEach(({ call }) => call.finish({ kind: 'failed', reason: 'cut', isResponding: false }));
    });
  }

  /** Creates a daemon's access to the feed. */
  createSource(isReachable: () => boolean): FeedSource<Item> {
    return {
      name: this.name,
      list: (done) => this.#list(isReachable, done),
      watch: (revision, timing, done, onOverdue) =>
        this.#watch(isReachable, revision, timing, done, onOverdue),
    };
  }

  #list(isReachable: () => boolean, done: (outcome: ListOutcome<Item>) => void): CancelCall {
    this.listCalls += 1;
    const call = new SimulatedCall(done);
    this.#clock.schedule(LIST_TIMEOUT, () =>
      call.finish({ kind: 'failed', reason: 'no answer', isResponding: false }),
    );
    if (!this.#store.isDown && isReachable()) {
      this.#clock.schedule(this.#store.latency(), () => {
        const items = [...this.#items].map(([id, item]) => ({ id, item }));
        this.#respond(call, { kind: 'listed', items, revision: this.#store.revision });
      });
    }
    return () => call.cancel();
  }

  #watch(
    isReachable: () => boolean,
    revision: number,
    { wait, dueTime, timeout }: WatchTiming,
    done: (outcome: WatchOutcome<Item>) => void,
    onOverdue: () => void,
  ): CancelCall {
    this.watchCalls += 1;
    const call = new SimulatedCall(done);
    if (dueTime !== null) {
      this.#clock.schedule(dueTime, () => (call.isOpen ? onOverdue() : undefined));
    }
    this.#clock.schedule(timeout, () =>
      call.finish({ kind: 'failed', reason: 'no answer', isResponding: false }),
    );
    if (!this.#store.isDown && isReachable()) {
      this.#startWatch({ revision, call, isReachable }, wait);
    }
    return () => call.cancel();
  }

  #startWatch(watcher: Watcher<Item>, wait: Milliseconds): void {
    if (watcher.revision < this.#compactedRevision) {
      this.#clock.schedule(this.#store.latency(), () => this.#respond(watcher.call, { kind: 'forgotten' }));
      return;
    }
    this.#watchers = this.#watchers.filter(({ call }) => call.isOpen);
    this.#watchers.push(watcher);
    this.#clock.schedule(this.#store.latency(), () => this.#notify());
    this.#clock.schedule(wait, () => {
      if (this.#watchers.includes(watcher) && this.#canNotify(watcher)) {
        this.#removeWatcher(watcher);
        this.#respond(watcher.call, { kind: 'changes', changes: [], revision: this.#store.revision });
      }
    });
  }

  #respond<Outcome>(call: SimulatedCall<Outcome>, outcome: Outcome): void {
    const delay = this.#store.nextResponseDelay();
    if (delay === 0) {
      call.finish(outcome);
    } else {
      this.#clock.schedule(delay, () => call.finish(outcome));
    }
  }

  #removeWatcher(watcher: Watcher<Item>): void {
    this.#watchers = this.#watchers.filter((other) => other !== watcher);
  }

  #canNotify({ isReachable }: Watcher<Item>): boolean {
    return !this.#store.isDown && isReachable();
  }

  #notify(): void {
    if (this.#clock.now < this.#notificationsPausedUntil) {
      return;
    }
    for (const watcher of this.#watchers.filter(({ call }) => call.isOpen)) {
      const changes = this.#changes.filter((change) => change.revision > watcher.revision);
      if (changes.length > 0 && this.#canNotify(watcher)) {
        this.#removeWatcher(watcher);
        const { revision } = this.#store;
        const delay = 2 + this.#store.fraction() * (MAX_NOTIFICATION_DELAY - 2);
        this.#clock.schedule(delay, () =>
          this.#respond(watcher.call, { kind: 'changes', changes, revision }),
        );
      } else if (changes.length > 0) {
        this.#notifyLater();
      }
    }
  }

  /** Retries while a watcher is unreachable: a watch from before an outage is answered after it. */
  #notifyLater(): void {
    if (!this.#isNotificationScheduled) {
      this.#isNotificationScheduled = true;
      this.#clock.schedule(NOTIFICATION_RETRY, () => {
        this.#isNotificationScheduled = false;
        this.#notify();
      });
    }
  }
}
