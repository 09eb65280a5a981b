/**
 * A pure model of the platform's object store: versioned objects, compare-and-swap, and watches for a newer
 * version. The emulated store process and the simulation add the faults.
 */

/** One object. Version 0 means that the object does not exist. */
export interface StoredObject {
  readonly version: number;
  readonly value: string;
  readonly writeId: string;
}

/** A fault of the store. */
export type StoreFault = 'none' | 'down' | 'slow' | 'lose-answers';

export const STORE_FAULTS: readonly StoreFault[] = ['none', 'down', 'slow', 'lose-answers'];

/** The outcome of a write. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly current: StoredObject };

const ABSENT: StoredObject = { version: 0, value: '', writeId: '' };

/** Stores objects by name. */
export class StoreModel {
  readonly #objects = new Map<string, StoredObject>();
  readonly #watches = new Set<{
    readonly name: string;
    readonly after: number;
    readonly onNewer: () => void;
  }>();

  /** Returns an object, or a placeholder with version 0 if it does not exist. */
  read(name: string): StoredObject {
    return this.#objects.get(name) ?? ABSENT;
  }

  /** Writes an object if its current version is the expected one. */
  write(name: string, expectedVersion: number, writeId: string, value: string): WriteOutcome {
    const current = this.read(name);
    if (current.version !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    const version = expectedVersion + 1;
    this.#objects.set(name, { version, value, writeId });
    this.#notifyWatches(name, version);
    return { kind: 'written', version };
  }

  /** Calls `onNewer` once, when the object has a newer version. Returns a function that cancels the watch. */
  waitForNewer(name: string, after: number, onNewer: () => void): () => void {
    const watch = { name, after, onNewer };
    this.#watches.add(watch);
    return () => this.#watches.delete(watch);
  }

  /** Number of open watches. */
  get watchCount(): number {
    return this.#watches.size;
  }

  #notifyWatches(name: string, version: number): void {
    for (const watch of [...this.#watches]) {
      if (watch.name === name && version > watch.after) {
        this.#watches.delete(watch);
        watch.onNewer();
      }
    }
  }
}
