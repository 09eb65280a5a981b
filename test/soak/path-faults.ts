/**
 * Lets daemons lose their paths to all servers, and checks that their callers are served by way of other daemons. Uses a random sequence of its
 * own, so that the other faults of a seed do not depend on these.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { DaemonProcess } from './daemon-process.js';
import { PATH_FAULTS } from './path-fault.js';
import type { CallerOutcome, PromiseChecker } from './promise-checker.js';
import { now, pause } from './soak-clock.js';

const SHORTEST_CUT_MILLISECONDS = 1_000;
const LONGEST_CUT_MILLISECONDS = 9_000;
const LONGEST_GAP_MILLISECONDS = 4_000;
/** Time after the begin of a cut from which callers are served: daemons know by then what others have observed. */
const CONTACT_MILLISECONDS = 3_000;
/** Time after a cut for which its daemons may still use proxies. */
const RECOVERY_MILLISECONDS = 3_000;
/** Failed first tries that are allowed in one cut: this many, and this share of all. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;
/** Callers of daemons without a path must be served at least this share as often as the others. */
const MIN_RELATIVE_SHARE = 2 / 3;
const COUNTED_PATHS: ReadonlySet<string> = new Set(['/once/', '/keyed/']);
const ZONES = 3;
const SUCCESS = 200;

/** Daemons of the run. */
export interface PathFaultEnvironment {
  readonly daemons: readonly DaemonProcess[];
  /** Returns whether a daemon has had no other fault for some time before the given one, nor has the store. */
  wasUndisturbed(daemon: DaemonProcess, from: number): boolean;
}

/** One cut, with the requests that count. */
interface Cut {
  readonly daemons: readonly DaemonProcess[];
  readonly beganAt: number;
  readonly atCut: Tally;
  readonly atOthers: Tally;
}

interface Tally {
  sent: number;
  served: number;
}

export class PathFaults {
  readonly #promises: PromiseChecker;
  readonly #environment: PathFaultEnvironment;
  readonly #random: SeededRandom;
  readonly #cuts = new Set<Cut>();
  /** Times at which the paths of daemons were last restored. */
  readonly #restoredAt = new Map<DaemonProcess, number>();

  constructor(seed: number, promises: PromiseChecker, environment: PathFaultEnvironment) {
    this.#promises = promises;
    this.#environment = environment;
    this.#random = new SeededRandom(seed + 613_000);
    promises.outcomeChecks.push((outcome) => this.#count(outcome));
  }

  /** Breaks paths for `length` milliseconds, and resolves when the last one is restored. */
  async run(length: number): Promise<void> {
    const cuts: Promise<void>[] = [];
    for (let at = 0; at < length;) {
      cuts.push(this.#cut());
      const gap = 300 + this.#randomBelow(LONGEST_GAP_MILLISECONDS);
      await pause(gap);
      at += gap;
    }
    await Promise.all(cuts);
  }

  /** Returns whether requests of a daemon may come to servers by way of others. */
  mayUseProxies(daemon: DaemonProcess): boolean {
    const restoredAt = this.#restoredAt.get(daemon) ?? Number.NEGATIVE_INFINITY;
    return this.#isCut(daemon) || now() - restoredAt < RECOVERY_MILLISECONDS;
  }

  #randomBelow(limit: number): number {
    return Math.floor(this.#random.fraction() * limit);
  }

  #isCut(daemon: DaemonProcess): boolean {
    return [...this.#cuts].some(({ daemons }) => daemons.includes(daemon));
  }

  /** Draws a share of the daemons, or a zone of them. A cut may overlap with others. */
  #drawDaemons(): DaemonProcess[] {
    const { daemons } = this.#environment;
    const zone = this.#randomBelow(2 * ZONES);
    const share = 0.2 + 0.6 * this.#random.fraction();
    const draws = daemons.map(() => this.#random.fraction());
    return daemons.filter((daemon, index) => {
      const isDrawn = zone < ZONES ? index % ZONES === zone : (draws[index] ?? 0) < share;
      return isDrawn && !this.#isCut(daemon);
    });
  }

  async #cut(): Promise<void> {
    const daemons = this.#drawDaemons();
    const fault = PATH_FAULTS[this.#randomBelow(PATH_FAULTS.length)] ?? 'silent';
    const length =
      SHORTEST_CUT_MILLISECONDS + this.#randomBelow(LONGEST_CUT_MILLISECONDS - SHORTEST_CUT_MILLISECONDS);
    const cut = {
      daemons,
      beganAt: now(),
      atCut: { sent: 0, served: 0 },
      atOthers: { sent: 0, served: 0 },
    };
    this.#cuts.add(cut);
    daemons.forEach((daemon) => daemon.setPathFault(fault));
    await pause(length);
    this.#cuts.delete(cut);
    for (const daemon of daemons) {
      daemon.setPathFault(null);
      this.#restoredAt.set(daemon, now());
    }
    this.#check(cut, `${fault} for ${length} ms`);
  }

  /** Counts a request for each cut that it was sent well after, if its daemon has no other fault and some daemon has a path. */
  #count({ daemon: name, path, sentAt, status }: CallerOutcome): void {
    const { daemons, wasUndisturbed } = this.#environment;
    const daemon = daemons.find((other) => other.name === name);
    const hasPath = (other: DaemonProcess): boolean => !this.#isCut(other) && wasUndisturbed(other, sentAt);
    if (daemon === undefined || !COUNTED_PATHS.has(path) || !wasUndisturbed(daemon, sentAt)) {
      return;
    }
    for (const cut of this.#cuts) {
      const tally = cut.daemons.includes(daemon) ? cut.atCut : cut.atOthers;
      const isCounted = tally === cut.atCut ? daemons.some(hasPath) : hasPath(daemon);
      if (isCounted && sentAt >= cut.beganAt + CONTACT_MILLISECONDS) {
        tally.sent += 1;
        tally.served += status === SUCCESS ? 1 : 0;
      }
    }
  }

  #check({ atCut, atOthers, daemons }: Cut, description: string): void {
    const failed = atCut.sent - atCut.served;
    const isShareLow = atCut.served * atOthers.sent < MIN_RELATIVE_SHARE * atOthers.served * atCut.sent;
    if (failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * atCut.sent && isShareLow) {
      const names = daemons.map(({ name }) => name).join(' ');
      this.#promises.fail(
        'daemons without a path serve their callers',
        `${atCut.served} of ${atCut.sent} at ${names} (${description}), ${atOthers.served} of ${atOthers.sent} at others`,
      );
    }
  }
}
