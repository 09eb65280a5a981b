/** Outages of the store, which may overlap. */
import type { StoreMode, FakeStore } from './fake-store.js';

export class StoreOutages {
  /** Time of the last change of the store's state by a fault, in milliseconds. */
  lastFaultAt = 0;
  readonly #store: FakeStore;
  readonly #activeOutages: { readonly mode: StoreMode }[] = [];

  constructor(store: FakeStore) {
    this.#store = store;
  }

  /** Whether any outage is under way. */
  get hasActive(): boolean {
    return this.#activeOutages.length > 0;
  }

  /** Begins an outage and returns a function that ends it. */
  begin(mode: StoreMode): () => void {
    const outage = { mode };
    this.#activeOutages.push(outage);
    this.#applyMode();
    return () => {
      this.#activeOutages.splice(this.#activeOutages.indexOf(outage), 1);
      this.#applyMode();
    };
  }

  /** Makes the open connections unresponsive without closing them. */
  muteConnections(): void {
    this.#store.muteConnections();
    this.lastFaultAt = performance.now();
  }

  /** Puts the store into the mode of the outage that began last, or makes it available when no outage is left. */
  #applyMode(): void {
    this.#store.mode = this.#activeOutages.at(-1)?.mode ?? 'available';
    this.lastFaultAt = performance.now();
  }
}
