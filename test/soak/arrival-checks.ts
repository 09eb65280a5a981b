/** Checks that draining servers and servers of evacuated zones get no requests once all daemons must know of the draining or evacuation. */
import { TIMING } from './deployment.js';
import type { PromiseChecker } from './promise-checker.js';
import type { FakeServer } from './fake-server.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Limits are checked at twice the time in the daemons' settings, because this process and the daemons share a machine that may be busy. */
const TOLERANCE_FACTOR = 2;
const DRAIN_LIMIT_MILLISECONDS = TOLERANCE_FACTOR * TIMING.drain * MILLISECONDS_PER_SECOND;
const EVACUATION_LIMIT_MILLISECONDS = TOLERANCE_FACTOR * TIMING.evacuation * MILLISECONDS_PER_SECOND;

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

  recordDraining(server: FakeServer): void {
    this.#drainingSince.set(server, performance.now());
  }

  recordEvacuated(zone: string): void {
    this.#evacuatedSince.set(zone, performance.now());
  }

  recordRestored(zone: string): void {
    this.#evacuatedSince.delete(zone);
  }

  /** Checks a request that a server runs. */
  onArrival(server: FakeServer, attemptId: string): void {
    const now = performance.now();
    if (!this.#isSenderUndisturbed(attemptId)) {
      return;
    }
    const drainingSince = this.#drainingSince.get(server) ?? Number.POSITIVE_INFINITY;
    if (now > drainingSince + DRAIN_LIMIT_MILLISECONDS) {
      this.#promises.fail('a leaving server gets nothing', `${attemptId} at ${server.id}`);
    }
    const evacuatedSince = this.#evacuatedSince.get(server.zone) ?? Number.POSITIVE_INFINITY;
    if (now > evacuatedSince + EVACUATION_LIMIT_MILLISECONDS) {
      this.#promises.fail('an evacuated zone gets nothing', `${attemptId} at ${server.id}`);
    }
  }
}
