/** Checks that servers that leave, and those of evacuated zones, get nothing after the time in which that must be known. */
import { TIMING } from './deployment.js';
import type { Promises } from './promises.js';
import type { ServerStandIn } from './server-stand-in.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Checked at twice the time that the daemons are set to: this process and they share a machine that may be busy. */
const LENIENCE = 2;
const LEAVE = LENIENCE * TIMING.drain * MILLISECONDS_PER_SECOND;
const EVACUATE = LENIENCE * TIMING.evacuation * MILLISECONDS_PER_SECOND;

export class ArrivalChecks {
  readonly #promises: Promises;
  readonly #isInTouch: (attemptId: string) => boolean;
  readonly #leavingSince = new Map<ServerStandIn, number>();
  readonly #evacuatedSince = new Map<string, number>();

  /** @param isInTouch whether the daemon that sent a request is bound by what it must know */
  constructor(promises: Promises, isInTouch: (attemptId: string) => boolean) {
    this.#promises = promises;
    this.#isInTouch = isInTouch;
  }

  isLeaving(server: ServerStandIn): boolean {
    return this.#leavingSince.has(server);
  }

  get isAnyEvacuated(): boolean {
    return this.#evacuatedSince.size > 0;
  }

  noteLeaving(server: ServerStandIn): void {
    this.#leavingSince.set(server, performance.now());
  }

  noteEvacuated(zone: string): void {
    this.#evacuatedSince.set(zone, performance.now());
  }

  noteRestored(zone: string): void {
    this.#evacuatedSince.delete(zone);
  }

  /** A request reached a server. */
  onArrival(server: ServerStandIn, attemptId: string): void {
    const now = performance.now();
    if (!this.#isInTouch(attemptId)) {
      return;
    }
    const leavingSince = this.#leavingSince.get(server) ?? Number.POSITIVE_INFINITY;
    if (now > leavingSince + LEAVE) {
      this.#promises.fail('a leaving server gets nothing', `${attemptId} at ${server.id}`);
    }
    const evacuatedSince = this.#evacuatedSince.get(server.zone) ?? Number.POSITIVE_INFINITY;
    if (now > evacuatedSince + EVACUATE) {
      this.#promises.fail('an evacuated zone gets nothing', `${attemptId} at ${server.id}`);
    }
  }
}
