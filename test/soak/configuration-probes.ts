/** Requests routes that a configuration change added or removed, and checks that changes are in force in time. */
import type { Caller } from './caller.js';
import type { DaemonProcess } from './daemon-process.js';
import { TIMING } from './deployment.js';
import type { CallerOutcome, PromiseChecker } from './promise-checker.js';
import { now } from './soak-clock.js';

const MILLISECONDS_PER_SECOND = 1_000;
const APPLY_LIMIT_MILLISECONDS = TIMING.configuration * MILLISECONDS_PER_SECOND;

export class ConfigurationProbes {
  readonly #promises: PromiseChecker;
  readonly #wasUndisturbed: (daemon: DaemonProcess, from: number) => boolean;
  /** Time at which each configuration version was written. */
  readonly #writtenAt = new Map<number, number>();
  #newestVersion = 0;

  /** @param wasUndisturbed whether neither a daemon nor the store had a fault for `UNDISTURBED_MILLISECONDS` before a time */
  constructor(promises: PromiseChecker, wasUndisturbed: (daemon: DaemonProcess, from: number) => boolean) {
    this.#promises = promises;
    this.#wasUndisturbed = wasUndisturbed;
  }

  /** Records that a configuration version is being written, so that its predecessors may be replaced at any time. */
  recordWriting(version: number): void {
    this.#newestVersion = version;
  }

  /** Records when the store accepted a configuration version. */
  recordWritten(version: number, at: number): void {
    this.#writtenAt.set(version, at);
  }

  /** Returns the newest version that must be in force at a time, or 0 when none must be. */
  #versionInForce(at: number): number {
    const written = [...this.#writtenAt].filter(([, when]) => when + APPLY_LIMIT_MILLISECONDS <= at);
    return Math.max(0, ...written.map(([version]) => version));
  }

  /** Requests a route that must be in force, or on other turns one that must have been removed, and checks the status. */
  async probe(caller: Caller, turn: number): Promise<void> {
    const sentAt = now();
    const versionInForce = this.#versionInForce(sentAt);
    const expectsRoute = turn % 4 === 2;
    const probedVersion = expectsRoute ? versionInForce : versionInForce - 2;
    if (probedVersion < 1) {
      return;
    }
    const outcome = await caller.call(`/added-${probedVersion}/`);
    if (!this.#wasUndisturbed(caller.daemon, sentAt)) {
      return;
    }
    this.#checkProbe(outcome, probedVersion, versionInForce, expectsRoute);
  }

  #checkProbe(
    { status, daemon, path }: CallerOutcome,
    probedVersion: number,
    versionInForce: number,
    expectsRoute: boolean,
  ): void {
    const detail = `${path} at ${daemon}: ${status}, where version ${versionInForce} must be in force`;
    if (expectsRoute && status === 404 && this.#newestVersion < probedVersion + 2) {
      this.#promises.fail(
        'a change is in force in time',
        `${detail}, and ${this.#newestVersion} is the newest`,
      );
    }
    if (!expectsRoute && status === 200) {
      this.#promises.fail('a change is in force in time', detail);
    }
  }
}
