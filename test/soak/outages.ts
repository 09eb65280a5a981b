/** Times in which the store is away; they may overlap. */
import type { StoreMode, StoreStandIn } from './store-stand-in.js';

export class Outages {
  /** When the store last had trouble, in ms. */
  troubledAt = 0;
  readonly #store: StoreStandIn;
  readonly #modes: { readonly mode: StoreMode }[] = [];

  constructor(store: StoreStandIn) {
    this.#store = store;
  }

  /** Some outage is under way. */
  get areUnderWay(): boolean {
    return this.#modes.length > 0;
  }

  /** Begins an outage; returns what ends it. */
  begin(mode: StoreMode): () => void {
    const outage = { mode };
    this.#modes.push(outage);
    this.#apply();
    return () => {
      this.#modes.splice(this.#modes.indexOf(outage), 1);
      this.#apply();
    };
  }

  /** Open connections go silent. */
  mute(): void {
    this.#store.muteConnections();
    this.troubledAt = performance.now();
  }

  /** Of outages that overlap, the last that began shows; the store is well when none is left. */
  #apply(): void {
    this.#store.mode = this.#modes.at(-1)?.mode ?? 'well';
    this.troubledAt = performance.now();
  }
}
