/** Checks that draining servers and servers of evacuated zones get no requests once all daemons must know of the draining or evacuation. */
import { TIMING } from './deployment.js';
import type { PromiseChecker } from './promise-checker.js';
import { earliestArrival } from './soak-clock.js';
import type { FakeServer } from './fake-server.js';

const MILLISECONDS_PER_SECOND = 1_000;
const DRAIN_LIMIT_MILLISECONDS = TIMING.drain * MILLISECONDS_PER_SECOND;
const EVACUATION_LIMIT_MILLISECONDS = TIMING.evacuation * MILLISECONDS_PER_SECOND;

export class ArrivalChecks {
  readonly #promises: PromiseChecker;
  readonly #isSenderUndisturbed: (attemptId: string) => boolean;
  readonly #drainingSince = new Map<FakeServer, number>();
  readonly #evacuatedSince = new Map<string, number>();

  /** @param isSenderUndisturbed whether the daemon that sent an attempt has been free of faults long enough that its promises apply */
  constructor(promises: PromiseChecker, isSenderUndisturbed: (attemptId: string) => boolean) {
    this.#promises = promises;
    this.#isSenderUndisturbed = isSenderUndisturbed;
  }

  isDraining(server: FakeServer): boolean {
    return this.#drainingSince.has(server);
  }

  get hasEvacuatedZone(): boolean {
    return this.#evacuatedSince.size > 0;
  }

  recordDraining(server: FakeServer, since: number): void {
    this.#drainingSince.set(server, since);
  }

  recordEvacuated(zone: string, since: number): void {
    this.#evacuatedSince.set(zone, since);
  }

  recordRestored(zone: string): void {
    this.#evacuatedSince.delete(zone);
  }

  /** Checks a request that a server runs. */
  onArrival(server: FakeServer, attemptId: string): void {
    const arrivedAt = earliestArrival();
    if (!this.#isSenderUndisturbed(attemptId)) {
      return;
    }
    const drainingSince = this.#drainingSince.get(server) ?? Number.POSITIVE_INFINITY;
    if (arrivedAt > drainingSince + DRAIN_LIMIT_MILLISECONDS) {
      this.#promises.fail('a leaving server gets nothing', `${attemptId} at ${server.id}`);
    }
    const evacuatedSince = this.#evacuatedSince.get(server.zone) ?? Number.POSITIVE_INFINITY;
    if (arrivedAt > evacuatedSince + EVACUATION_LIMIT_MILLISECONDS) {
      this.#promises.fail('an evacuated zone gets nothing', `${attemptId} at ${server.id}`);
    }
  }
}
