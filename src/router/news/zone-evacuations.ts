/**
 * Zones that operators evacuate: their servers are to get nothing. The whole set is small, so it travels as it is with
 * every heartbeat and report, and whoever knows the store's later state passes that on. No daemon can miss a change
 * for longer than it is without a parent.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** Every evacuated zone, as the store had them at a revision. */
export interface EvacuationStatement {
  /** Of the store; 0: nothing is known. */
  readonly revision: number;
  readonly zones: readonly string[];
}

/** What a newer statement changes. */
export interface EvacuationChange {
  readonly evacuated: readonly string[];
  readonly restored: readonly string[];
}

/** What one daemon knows. */
export class ZoneEvacuations {
  #revision = 0;
  /** When this daemon learned that the zone is evacuated. */
  readonly #since = new Map<string, Milliseconds>();

  /** Of the store: all changes up to here are known; 0 before anything is. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether any zone is evacuated. */
  get isEmpty(): boolean {
    return this.#since.size === 0;
  }

  /** Whether the servers of a zone are to get nothing. */
  has(zone: string): boolean {
    return this.#since.has(zone);
  }

  /** How long it has been known that a zone is evacuated, or null when it is not. */
  age(zone: string, now: Milliseconds): Milliseconds | null {
    const since = this.#since.get(zone);
    return since === undefined ? null : now - since;
  }

  /** What is told to other daemons. */
  statement(): EvacuationStatement {
    return { revision: this.#revision, zones: [...this.#since.keys()] };
  }

  /** Takes a statement in. Returns what it changes; null when it is not newer or changes nothing. */
  put({ revision, zones }: EvacuationStatement, now: Milliseconds): EvacuationChange | null {
    if (revision <= this.#revision) {
      return null;
    }
    this.#revision = revision;
    const evacuated = zones.filter((zone) => !this.#since.has(zone));
    const restored = [...this.#since.keys()].filter((zone) => !zones.includes(zone));
    evacuated.forEach((zone) => this.#since.set(zone, now));
    restored.forEach((zone) => this.#since.delete(zone));
    return evacuated.length + restored.length === 0 ? null : { evacuated, restored };
  }
}
