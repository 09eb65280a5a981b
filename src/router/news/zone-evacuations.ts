/**
 * Zones that operators have evacuated: their servers must not be sent anything. The set is small, so every heartbeat and report
 * carries all of it, and each daemon forwards the one with the newest revision. A daemon can miss a change only while it
 * has no parent.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** All evacuated zones at a revision of the store. */
export interface EvacuationStatement {
  /** The revision of the store; 0 before anything is known. */
  readonly revision: number;
  readonly zones: readonly string[];
}

/** The zones that a newer statement evacuates and restores. */
export interface EvacuationChange {
  readonly evacuated: readonly string[];
  readonly restored: readonly string[];
}

/** The evacuated zones known to this daemon. */
export class ZoneEvacuations {
  #revision = 0;
  /** The earliest time at which the evacuation of each zone may have begun. */
  readonly #since = new Map<string, Milliseconds>();
  /** When this daemon learned that each zone is no longer evacuated. */
  readonly #restoredAt = new Map<string, Milliseconds>();

  /** The revision of the store up to which all changes are known; 0 before anything is known. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether any zone is evacuated. */
  get isEmpty(): boolean {
    return this.#since.size === 0;
  }

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.#since.has(zone);
  }

  /** Returns for how long a zone may have been evacuated, or null when it is not. */
  age(zone: string, now: Milliseconds): Milliseconds | null {
    const since = this.#since.get(zone);
    return since === undefined ? null : now - since;
  }

  /** Returns when this daemon learned that a zone is no longer evacuated. */
  restoredAt(zone: string): Milliseconds {
    return this.#restoredAt.get(zone) ?? Number.NEGATIVE_INFINITY;
  }

  /** Returns the statement that is sent to other daemons. */
  statement(): EvacuationStatement {
    return { revision: this.#revision, zones: [...this.#since.keys()] };
  }

  /**
   * Applies a statement. Returns the changes, or null when the statement isn't newer or changes nothing.
   *
   * @param acceptedAfter a time before the store accepted the changes
   */
  apply(
    { revision, zones }: EvacuationStatement,
    now: Milliseconds,
    acceptedAfter = now,
  ): EvacuationChange | null {
    if (revision <= this.#revision) {
      return null;
    }
    this.#revision = revision;
    const evacuated = zones.filter((zone) => !this.#since.has(zone));
    const restored = [...this.#since.keys()].filter((zone) => !zones.includes(zone));
    evacuated.forEach((zone) => this.#since.set(zone, acceptedAfter));
    restored.forEach((zone) => {
      this.#since.delete(zone);
      this.#restoredAt.set(zone, now);
    });
    return evacuated.length + restored.length === 0 ? null : { evacuated, restored };
  }
}
