/**
 * The platform's object store as a pure model: objects with versions, compare-and-swap, and waiting for a
 * newer version. Faults can be switched on while it runs.
 */

/** One object. Version 0 stands for "there is none". */
export interface StoredObject {
  readonly version: number;
  readonly value: string;
  readonly writeId: string;
}

/** What the store does wrong. */
export type StoreFault = 'none' | 'down' | 'slow' | 'lose-answers';

export const STORE_FAULTS: readonly StoreFault[] = ['none', 'down', 'slow', 'lose-answers'];

/** What became of a write. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly current: StoredObject };

const ABSENT: StoredObject = { version: 0, value: '', writeId: '' };

/** Objects by name. */
export class StoreModel {
  readonly #objects = new Map<string, StoredObject>();
  readonly #waiting = new Set<{ readonly name: string; readonly after: number; readonly wake: () => void }>();

  /** The object, or one with version 0. */
  read(name: string): StoredObject {
    return this.#objects.get(name) ?? ABSENT;
  }

  /** Writes if the version is still the expected one. */
  write(name: string, expectedVersion: number, writeId: string, value: string): WriteOutcome {
    const current = this.read(name);
    if (current.version !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    const version = expectedVersion + 1;
    this.#objects.set(name, { version, value, writeId });
    this.#wake(name, version);
    return { kind: 'written', version };
  }

  /** Calls `wake` once when the object has a newer version. Returns what cancels the wait. */
  waitForNewer(name: string, after: number, wake: () => void): () => void {
    const waiter = { name, after, wake };
    this.#waiting.add(waiter);
    return () => this.#waiting.delete(waiter);
  }

  /** How many waits there are. */
  get waiters(): number {
    return this.#waiting.size;
  }

  #wake(name: string, version: number): void {
    for (const waiter of [...this.#waiting]) {
      if (waiter.name === name && version > waiter.after) {
        this.#waiting.delete(waiter);
        waiter.wake();
      }
    }
  }
}
