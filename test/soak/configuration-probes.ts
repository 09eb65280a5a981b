/** Asks daemons for routes that a change has added or dropped, and checks that changes are in force in time. */
import type { Caller } from './caller.js';
import type { DaemonProcess } from './daemon-process.js';
import { TIMING } from './deployment.js';
import type { CallerOutcome, Promises } from './promises.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Checked at twice the time that the daemons are set to: this process and they share a machine that may be busy. */
const LENIENCE = 2;
const APPLY = LENIENCE * TIMING.configuration * MILLISECONDS_PER_SECOND;

export class ConfigurationProbes {
  readonly #promises: Promises;
  readonly #inTouchSince: (daemon: DaemonProcess, from: number) => boolean;
  /** When each version was written, by number. */
  readonly #writtenAt = new Map<number, number>();
  #newest = 0;

  /** @param inTouchSince whether neither a daemon nor the store has had trouble for long before a moment */
  constructor(promises: Promises, inTouchSince: (daemon: DaemonProcess, from: number) => boolean) {
    this.#promises = promises;
    this.#inTouchSince = inTouchSince;
  }

  /** A version was written. */
  noteWritten(version: number): void {
    this.#newest = version;
    this.#writtenAt.set(version, performance.now());
  }

  /** The newest version that must be in force at a moment. */
  #versionInForce(at: number): number {
    const written = [...this.#writtenAt].filter(([, when]) => when + APPLY <= at);
    return Math.max(0, ...written.map(([version]) => version));
  }

  /** A route that is new must be there in time, and one that was dropped must be gone. */
  async probe(caller: Caller, turn: number): Promise<void> {
    const sentAt = performance.now();
    const inForce = this.#versionInForce(sentAt);
    const isForNew = turn % 4 === 2;
    const probed = isForNew ? inForce : inForce - 2;
    if (probed < 1) {
      return;
    }
    const outcome = await caller.call(`/added-${probed}/`);
    if (!this.#inTouchSince(caller.daemon, sentAt)) {
      return;
    }
    this.#judgeProbe(outcome, probed, inForce, isForNew);
  }

  #judgeProbe(
    { status, daemon, path }: CallerOutcome,
    probed: number,
    inForce: number,
    isForNew: boolean,
  ): void {
    const told = `${path} at ${daemon}: ${status}, where version ${inForce} must be in force`;
    if (isForNew && status === 404 && this.#newest < probed + 2) {
      this.#promises.fail('a change is in force in time', `${told}, and ${this.#newest} is the newest`);
    }
    if (!isForNew && status === 200) {
      this.#promises.fail('a change is in force in time', told);
    }
  }
}
