/** Outages of the store, which may overlap. */
import type { StoreMode } from './fake-store.js';
import type { RemoteStore } from './remote-store.js';
import { now, pause } from './soak-clock.js';

export class StoreOutages {
  /** Time of the last change of the store's state by a fault, in milliseconds. */
  lastFaultAt = 0;
  readonly #store: RemoteStore;
  readonly #activeOutages: { readonly mode: StoreMode }[] = [];

  constructor(store: RemoteStore) {
    this.#store = store;
  }

  /** Whether any outage is under way. */
  get hasActive(): boolean {
    return this.#activeOutages.length > 0;
  }

  /** Interrupts the store for some milliseconds. */
  async interrupt(mode: StoreMode, lasts: number): Promise<void> {
    const outage = { mode };
    this.#activeOutages.push(outage);
    this.#applyMode();
    await pause(lasts);
    this.#activeOutages.splice(this.#activeOutages.indexOf(outage), 1);
    this.#applyMode();
  }

  /** Makes the open connections unresponsive without closing them. */
  muteConnections(): void {
    this.#recordFault(this.#store.muteConnections());
  }

  /** Puts the store into the mode of the outage that began last, or makes it available when no outage is left. */
  #applyMode(): void {
    this.#recordFault(this.#store.setMode(this.#activeOutages.at(-1)?.mode ?? 'available'));
  }

  /** Records a change of the store's content that disturbs the daemons. */
  recordChange(): void {
    this.lastFaultAt = now();
  }

  #recordFault(doneAt: Promise<number>): void {
    this.lastFaultAt = now();
    void doneAt.then((at) => {
      this.lastFaultAt = Math.max(this.lastFaultAt, at);
    });
  }
}
