/** Callers with requests that may run once: they hold their connections, and no two of their bodies are the same. */
import { SeededRandom } from '../../src/core/random.js';
import type { CallerConnections } from './caller-connections.js';
import type { DaemonProcess } from './daemon-process.js';
import { HOST } from './deployment.js';
import type { PromiseChecker } from './promise-checker.js';
import { pause } from './soak-clock.js';

const CALLERS_PER_DAEMON = 3;
const DEADLINE_MILLISECONDS = 1_500;
/** A caller waits for longer than it says, so that an answer at the deadline still reaches it. */
const TIMEOUT_MILLISECONDS = 2_000;
const LONGEST_PAUSE_MILLISECONDS = 60;
const LONGEST_BODY_BYTES = 6_000;
const KEYS = 65_536;
/** Time after which a caller whose daemon does not accept connections tries again. */
const RECONNECT_MILLISECONDS = 200;

/** What the callers act on. */
export interface OnceCallerEnvironment {
  readonly daemons: readonly DaemonProcess[];
  readonly connections: CallerConnections;
}

export class OnceCallers {
  readonly #promises: PromiseChecker;
  readonly #environment: OnceCallerEnvironment;
  readonly #random: SeededRandom;
  #nextAttempt = 1;

  constructor(seed: number, promises: PromiseChecker, environment: OnceCallerEnvironment) {
    this.#promises = promises;
    this.#environment = environment;
    this.#random = new SeededRandom(seed + 93_000);
  }

  /** Sends requests until `isFinished`, and resolves when the last one has ended. */
  async run(isFinished: () => boolean): Promise<void> {
    const callers = this.#environment.daemons.flatMap((daemon) =>
      Array.from({ length: CALLERS_PER_DAEMON }, () => this.#callRepeatedly(daemon, isFinished)),
    );
    await Promise.all(callers);
  }

  async #callRepeatedly(daemon: DaemonProcess, isFinished: () => boolean): Promise<void> {
    while (!isFinished()) {
      const status = await this.#call(daemon);
      await pause(
        status === 0 ? RECONNECT_MILLISECONDS : this.#random.fraction() * LONGEST_PAUSE_MILLISECONDS,
      );
    }
  }

  async #call(daemon: DaemonProcess): Promise<number> {
    const attemptId = `${daemon.name}-single-${this.#nextAttempt}`;
    this.#nextAttempt += 1;
    const path = this.#random.fraction() < 0.5 ? '/once/' : '/keyed-once/';
    const [host = '', port = ''] = daemon.ports.http.split(':');
    const result = await this.#environment.connections.send({
      attemptId,
      host,
      port,
      path,
      method: 'POST',
      headers: {
        host: HOST,
        'fennelferry-attempt-id': attemptId,
        'fennelferry-deadline-ms': String(DEADLINE_MILLISECONDS),
        'fennelferry-shard-key': String(Math.floor(this.#random.fraction() * KEYS)),
      },
      body: attemptId.padEnd(Math.floor(this.#random.fraction() * LONGEST_BODY_BYTES), '.'),
      pool: `single ${daemon.name}`,
      maxConnections: CALLERS_PER_DAEMON,
      localAddress: null,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      disconnect: null,
    });
    const { sentAt, endedAt, status, body: reason, ending } = result;
    const duringPlannedStop = daemon.wasStopping(endedAt);
    const outcome = {
      attemptId,
      path,
      daemon: daemon.name,
      sentAt,
      endedAt,
      status,
      reason,
      ending,
      duringPlannedStop,
    };
    this.#promises.recordOutcome(outcome);
    return status;
  }
}
