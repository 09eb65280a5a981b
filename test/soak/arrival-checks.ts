/** Checks that draining servers and servers of evacuated zones get no requests once all daemons must know of the draining or evacuation. */
import { TIMING } from './deployment.js';
import type { Promises } from './promises.js';
import type { ServerStandIn } from './server-stand-in.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Limits are checked at twice the time in the daemons' settings, because this process and the daemons share a machine that may be busy. */
const LENIENCE = 2;
const LEAVE = LENIENCE * TIMING.drain * MILLISECONDS_PER_SECOND;
const EVACUATE = LENIENCE * TIMING.evacuation * MILLISECONDS_PER_SECOND;

export class ArrivalChecks {
  readonly #promises: Promises;
  readonly #isSenderUndisturbed: (attemptId: string) => boolean;
  readonly #drainingSince = new Map<ServerStandIn, number>();
  readonly #evacuatedSince = new Map<string, number>();

  /** @param isSenderUndisturbed whether the daemon that sent an attempt has been free of faults long enough that its promises apply */
  constructor(promises: Promises, isSenderUndisturbed: (attemptId: string) => boolean) {
    this.#promises = promises;
    this.#isSenderUndisturbed = isSenderUndisturbed;
  }

  isLeaving(server: ServerStandIn): boolean {
    return this.#drainingSince.has(server);
  }

  get isAnyEvacuated(): boolean {
    return this.#evacuatedSince.size > 0;
  }

  noteLeaving(server: ServerStandIn): void {
    this.#drainingSince.set(server, performance.now());
  }

  noteEvacuated(zone: string): void {
    this.#evacuatedSince.set(zone, performance.now());
  }

  noteRestored(zone: string): void {
    this.#evacuatedSince.delete(zone);
  }

  /** Checks a request that a server runs. */
  onArrival(server: ServerStandIn, attemptId: string): void {
    const now = performance.now();
    if (!this.#isSenderUndisturbed(attemptId)) {
      return;
    }
    const drainingSince = this.#drainingSince.get(server) ?? Number.POSITIVE_INFINITY;
    if (now > drainingSince + LEAVE) {
      this.#promises.fail('a leaving server gets nothing', `${attemptId} at ${server.id}`);
    }
    const evacuatedSince = this.#evacuatedSince.get(server.zone) ?? Number.POSITIVE_INFINITY;
    if (now > evacuatedSince + EVACUATE) {
      this.#promises.fail('an evacuated zone gets nothing', `${attemptId} at ${server.id}`);
    }
  }
}
