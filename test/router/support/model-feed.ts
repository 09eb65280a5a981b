/**
 * Objects of one kind in the model store, listed and watched in virtual time. A call that the store gets while it is away
 * is never answered, also when the store is back: whoever made it waits until its own patience ends.
 */
import type { Milliseconds } from '../../../src/router/model/identifiers.js';
import type {
  EndCall,
  FeedChange,
  FeedSource,
  ListOutcome,
  WatchOutcome,
} from '../../../src/router/ports.js';
import type { ModelStore } from './model-store.js';
import type { VirtualClock } from './virtual-clock.js';

/** As the platform's adapter has it: until a list, and until a watch after its wait, is given up. */
const LIST_PATIENCE: Milliseconds = 1_500;
const WATCH_SLACK: Milliseconds = 600;
/** A change reaches whoever watches within this time. */
const LONGEST_NOTICE: Milliseconds = 12;
const NOTICE_RETRY: Milliseconds = 50;

interface Change<Item> extends FeedChange<Item> {
  readonly revision: number;
}

/** One call of a daemon. Tells its outcome once, and none when it was ended. */
class ModelCall<Outcome> {
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

  end(): void {
    this.#open = false;
  }
}

interface Watcher<Item> {
  readonly revision: number;
  readonly call: ModelCall<WatchOutcome<Item>>;
  readonly isReachable: () => boolean;
}

export class ModelFeed<Item> {
  readonly name: string;
  /** Calls that were made. */
  lists = 0;
  watches = 0;
  readonly #clock: VirtualClock;
  readonly #store: ModelStore;
  readonly #items = new Map<string, Item>();
  #changes: Change<Item>[] = [];
  #watchers: Watcher<Item>[] = [];
  #quietUntil = Number.NEGATIVE_INFINITY;
  /** Of what came up to this revision, nothing is remembered. */
  #forgotten = 0;
  #noticeIsPlanned = false;

  constructor(name: string, clock: VirtualClock, store: ModelStore) {
    this.name = name;
    this.#clock = clock;
    this.#store = store;
  }

  /** Puts an object, or removes it when the item is null. Returns the store's revision of that. */
  put(id: string, item: Item | null): number {
    const revision = this.#store.nextRevision();
    if (item === null) {
      this.#items.delete(id);
    } else {
      this.#items.set(id, item);
    }
    this.#changes.push({ id, item, revision });
    this.#clock.after(0, () => this.#notify());
    return revision;
  }

  /** Connections on which watches wait go silent: they end with nobody's word. */
  silenceWatches(): void {
    this.#watchers = [];
  }

  /** Watches hear nothing for a time; then the history is dropped, and they are cut. */
  forgetHistory(quiet: Milliseconds): void {
    this.#quietUntil = this.#clock.now + quiet;
    this.#clock.after(quiet, () => {
      this.#changes = [];
      this.#forgotten = this.#store.revision;
      const cut = this.#watchers;
      this.#watchers = [];
      cut.forEach(({ call }) => call.finish({ kind: 'failed', reason: 'cut' }));
    });
  }

  /** The feed as a daemon reaches it. */
  sourceFor(isReachable: () => boolean): FeedSource<Item> {
    return {
      name: this.name,
      list: (done) => this.#list(isReachable, done),
      watch: (revision, wait, done) => this.#watch(isReachable, revision, wait, done),
    };
  }

  #list(isReachable: () => boolean, done: (outcome: ListOutcome<Item>) => void): EndCall {
    this.lists += 1;
    const call = new ModelCall(done);
    this.#clock.after(LIST_PATIENCE, () => call.finish({ kind: 'failed', reason: 'no answer' }));
    if (!this.#store.isDown && isReachable()) {
      this.#clock.after(this.#store.latency(), () => {
        const items = [...this.#items].map(([id, item]) => ({ id, item }));
        call.finish({ kind: 'listed', items, revision: this.#store.revision });
      });
    }
    return () => call.end();
  }

  #watch(
    isReachable: () => boolean,
    revision: number,
    wait: Milliseconds,
    done: (outcome: WatchOutcome<Item>) => void,
  ): EndCall {
    this.watches += 1;
    const call = new ModelCall(done);
    this.#clock.after(wait + WATCH_SLACK, () => call.finish({ kind: 'failed', reason: 'no answer' }));
    if (!this.#store.isDown && isReachable()) {
      this.#open({ revision, call, isReachable }, wait);
    }
    return () => call.end();
  }

  #open(watcher: Watcher<Item>, wait: Milliseconds): void {
    if (watcher.revision < this.#forgotten) {
      this.#clock.after(this.#store.latency(), () => watcher.call.finish({ kind: 'forgotten' }));
      return;
    }
    this.#watchers = this.#watchers.filter(({ call }) => call.isOpen);
    this.#watchers.push(watcher);
    this.#clock.after(this.#store.latency(), () => this.#notify());
    this.#clock.after(wait, () => {
      if (this.#watchers.includes(watcher) && this.#canHear(watcher)) {
        this.#take(watcher);
        watcher.call.finish({ kind: 'changes', changes: [], revision: this.#store.revision });
      }
    });
  }

  #take(watcher: Watcher<Item>): void {
    this.#watchers = this.#watchers.filter((other) => other !== watcher);
  }

  #canHear({ isReachable }: Watcher<Item>): boolean {
    return !this.#store.isDown && isReachable();
  }

  #notify(): void {
    if (this.#clock.now < this.#quietUntil) {
      return;
    }
    for (const watcher of this.#watchers.filter(({ call }) => call.isOpen)) {
      const changes = this.#changes.filter((change) => change.revision > watcher.revision);
      if (changes.length > 0 && this.#canHear(watcher)) {
        this.#take(watcher);
        const { revision } = this.#store;
        const notice = 2 + this.#store.fraction() * (LONGEST_NOTICE - 2);
        this.#clock.after(notice, () => watcher.call.finish({ kind: 'changes', changes, revision }));
      } else if (changes.length > 0) {
        this.#notifyLater();
      }
    }
  }

  /** Somebody who waits can't be reached now: a watch from before an outage is answered after it. */
  #notifyLater(): void {
    if (!this.#noticeIsPlanned) {
      this.#noticeIsPlanned = true;
      this.#clock.after(NOTICE_RETRY, () => {
        this.#noticeIsPlanned = false;
        this.#notify();
      });
    }
  }
}
