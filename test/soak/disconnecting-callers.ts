/**
 * Callers that disconnect 50 to 500 ms after sending, on reused and new connections, by close and by reset, while daemons are paused for short times.
 * Checks that no server receives their requests more than half a second later, or still works on them.
 */
import { Agent, request } from 'node:http';
import { SeededRandom } from '../../src/core/random.js';
import type { DaemonProcess } from './daemon-process.js';
import { HOST } from './deployment.js';
import type { ServerTrafficCheck, PromiseChecker } from './promise-checker.js';
import { type FakeServer, SLOW_PATH_PART } from './fake-server.js';

/**
 * Milliseconds after a caller's disconnection from which its request may no longer reach a server, even if the daemon was paused meanwhile. A server may
 * work on the request no longer than this after the disconnection or the daemon's resumption, whichever is later.
 */
const MAX_DELAY_MILLISECONDS = 500;
const SHORTEST_CONNECTED_MILLISECONDS = 50;
const LONGEST_CONNECTED_MILLISECONDS = 500;
const CALL_INTERVAL_MILLISECONDS = 25;
const LAST_KEY = 65_535;
/** One in this many callers waits for its response, so that connections are reused. */
const CALLERS_PER_WAITING_CALLER = 3;
const SHORTEST_PAUSE_MILLISECONDS = 100;
const LONGEST_PAUSE_MILLISECONDS = 2_000;
const PAUSE_GAP_MILLISECONDS = 400;

/** Daemons and servers of the run. */
export interface DisconnectEnvironment {
  readonly daemons: readonly DaemonProcess[];
  servers(): readonly FakeServer[];
}

/** A request whose caller disconnected. */
interface AbandonedRequest {
  readonly at: number;
  readonly daemon: DaemonProcess;
}

export class DisconnectingCallers implements ServerTrafficCheck {
  readonly #random: SeededRandom;
  readonly #promises: PromiseChecker;
  readonly #environment: DisconnectEnvironment;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 20 });
  readonly #abandoned = new Map<string, AbandonedRequest>();
  #nextAttempt = 1;
  #finished = false;

  constructor(seed: number, promises: PromiseChecker, environment: DisconnectEnvironment) {
    this.#random = new SeededRandom(seed);
    this.#promises = promises;
    this.#environment = environment;
  }

  /** Sends requests and pauses daemons for `length` milliseconds. */
  async run(length: number): Promise<void> {
    const pauses = this.#environment.daemons.map((daemon) => this.#pauseRepeatedly(daemon));
    const end = performance.now() + length;
    while (performance.now() < end) {
      this.#call();
      await pause(CALL_INTERVAL_MILLISECONDS);
    }
    this.#finished = true;
    await Promise.all(pauses);
    await pause(LONGEST_CONNECTED_MILLISECONDS + MAX_DELAY_MILLISECONDS);
    this.#agent.destroy();
  }

  onArrival(server: FakeServer, attemptId: string): void {
    const abandoned = this.#abandoned.get(attemptId);
    if (abandoned !== undefined && performance.now() > abandoned.at + MAX_DELAY_MILLISECONDS) {
      const delay = Math.round(performance.now() - abandoned.at);
      this.#promises.fail(
        'nothing is sent on for callers that have left',
        `${attemptId} at ${server.id}, ${delay} ms`,
      );
    }
  }

  onAnswer(): void {
    // Responses are not checked.
  }

  #checkedSince({ at, daemon }: AbandonedRequest): number {
    return Math.max(at, daemon.lastPauseChangeAt);
  }

  /** Pauses a daemon repeatedly, mostly for short times. */
  async #pauseRepeatedly(daemon: DaemonProcess): Promise<void> {
    while (!this.#finished) {
      await pause(PAUSE_GAP_MILLISECONDS * this.#random.fraction() * 4);
      if (daemon.isRunning && !daemon.stopping && !daemon.isPaused && !this.#finished) {
        daemon.signal('SIGSTOP');
        await pause(
          SHORTEST_PAUSE_MILLISECONDS +
            (LONGEST_PAUSE_MILLISECONDS - SHORTEST_PAUSE_MILLISECONDS) * this.#random.fraction() ** 3,
        );
        daemon.signal('SIGCONT');
      }
    }
  }

  #call(): void {
    const { daemons } = this.#environment;
    const daemon = daemons[Math.floor(this.#random.fraction() * daemons.length)];
    if (daemon === undefined) {
      return;
    }
    const attemptId = `${daemon.name}-leaving-${this.#nextAttempt}`;
    this.#nextAttempt += 1;
    const waitsForResponse = this.#nextAttempt % CALLERS_PER_WAITING_CALLER === 0;
    const [host, port] = daemon.ports.http.split(':');
    const isKeyed = this.#random.fraction() < 0.5;
    const path = `${isKeyed ? '/keyed/' : '/once/'}${waitsForResponse ? '' : SLOW_PATH_PART}`;
    const headers = {
      host: HOST,
      'fennelferry-attempt-id': attemptId,
      'fennelferry-deadline-ms': '2500',
      'fennelferry-shard-key': String(Math.floor(this.#random.fraction() * LAST_KEY)),
    };
    const agent = this.#random.fraction() < 0.5 ? this.#agent : false;
    const method = isKeyed ? 'GET' : 'POST';
    const outgoing = request({ host, port, path, method, agent, headers }, (answer) => answer.resume());
    outgoing.on('error', () => undefined);
    outgoing.end();
    if (!waitsForResponse) {
      const closesByReset = this.#random.fraction() < 0.5;
      const connectedMilliseconds =
        SHORTEST_CONNECTED_MILLISECONDS +
        (LONGEST_CONNECTED_MILLISECONDS - SHORTEST_CONNECTED_MILLISECONDS) * this.#random.fraction();
      setTimeout(() => {
        if (closesByReset) {
          outgoing.socket?.resetAndDestroy();
        } else {
          outgoing.destroy();
        }
        this.#abandoned.set(attemptId, { at: performance.now(), daemon });
        setTimeout(() => this.#checkNotProcessed(attemptId), MAX_DELAY_MILLISECONDS);
      }, connectedMilliseconds);
    }
  }

  #checkNotProcessed(attemptId: string): void {
    const abandoned = this.#abandoned.get(attemptId) as AbandonedRequest;
    const remaining = this.#checkedSince(abandoned) + MAX_DELAY_MILLISECONDS - performance.now();
    if (abandoned.daemon.isPaused || remaining > 0) {
      setTimeout(() => this.#checkNotProcessed(attemptId), Math.max(SHORTEST_PAUSE_MILLISECONDS, remaining));
      return;
    }
    const server = this.#environment
      .servers()
      .find(({ attemptsInProgress }) => attemptsInProgress.has(attemptId));
    if (server !== undefined) {
      this.#promises.fail('nobody works for callers that have left', `${attemptId} at ${server.id}`);
    }
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
