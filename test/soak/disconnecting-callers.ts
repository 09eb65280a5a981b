/**
 * Callers that disconnect 50 to 500 ms after sending, on reused and new connections, by close and by reset, while daemons are paused for short times.
 * Checks that no server receives their requests more than half a second later, or still works on them.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { CallerRequest } from './caller-messages.js';
import type { CallerConnections } from './caller-connections.js';
import type { DaemonProcess } from './daemon-process.js';
import { HOST } from './deployment.js';
import type { ServerTrafficCheck, PromiseChecker } from './promise-checker.js';
import { type FakeServer, SLOW_PATH_PART } from './fake-server.js';
import { earliestArrival, now, pause, socketsRead } from './soak-clock.js';

/**
 * Milliseconds after a caller's disconnection from which its request may no longer reach a server, even if the daemon was paused meanwhile. A server may
 * work on the request no longer than this after the disconnection or the time from which the machine runs the daemon again, whichever is later.
 */
const MAX_DELAY_MILLISECONDS = 500;
const SHORTEST_CONNECTED_MILLISECONDS = 50;
const LONGEST_CONNECTED_MILLISECONDS = 500;
const CALL_INTERVAL_MILLISECONDS = 25;
const TIMEOUT_MILLISECONDS = 2_500;
const MAX_KEPT_CONNECTIONS = 20;
const LAST_KEY = 65_535;
/** One in this many callers waits for its response, so that connections are reused. */
const CALLERS_PER_WAITING_CALLER = 3;
const SHORTEST_PAUSE_MILLISECONDS = 100;
const LONGEST_PAUSE_MILLISECONDS = 2_000;
const PAUSE_GAP_MILLISECONDS = 400;

/** Daemons and servers of the run. */
export interface DisconnectEnvironment {
  readonly connections: CallerConnections;
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
  /** Earliest time at which each request may have reached a server, at its last arrival so far. */
  readonly #arrivedAt = new Map<string, number>();
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
    const end = now() + length;
    while (now() < end) {
      this.#call();
      await pause(CALL_INTERVAL_MILLISECONDS);
    }
    this.#finished = true;
    await Promise.all(pauses);
    await pause(LONGEST_CONNECTED_MILLISECONDS + MAX_DELAY_MILLISECONDS);
  }

  onArrival(server: FakeServer, attemptId: string): void {
    const arrivedAt = earliestArrival();
    this.#arrivedAt.set(attemptId, arrivedAt);
    const abandoned = this.#abandoned.get(attemptId);
    if (abandoned !== undefined) {
      this.#checkArrival(attemptId, arrivedAt, abandoned, server.id);
    }
  }

  #checkArrival(attemptId: string, arrivedAt: number, { at }: AbandonedRequest, place: string): void {
    if (arrivedAt > at + MAX_DELAY_MILLISECONDS) {
      const delay = Math.round(arrivedAt - at);
      this.#promises.fail(
        'nothing is sent on for callers that have left',
        `${attemptId} at ${place}, ${delay} ms`,
      );
    }
  }

  onAnswer(): void {
    // Responses are not checked.
  }

  #checkedSince({ at, daemon }: AbandonedRequest): number {
    return Math.max(at, daemon.lastPauseChangeAt, daemon.heartbeats.runsSince);
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
    const [host = '', port = ''] = daemon.ports.http.split(':');
    const isKeyed = this.#random.fraction() < 0.5;
    const path = `${isKeyed ? '/keyed/' : '/once/'}${waitsForResponse ? '' : SLOW_PATH_PART}`;
    const headers = {
      host: HOST,
      'fennelferry-attempt-id': attemptId,
      'fennelferry-deadline-ms': String(TIMEOUT_MILLISECONDS),
      'fennelferry-shard-key': String(Math.floor(this.#random.fraction() * LAST_KEY)),
    };
    const reusesConnections = this.#random.fraction() < 0.5;
    const request: Omit<CallerRequest, 'disconnect'> = {
      attemptId,
      host,
      port,
      path,
      method: isKeyed ? 'GET' : 'POST',
      headers,
      body: isKeyed ? null : attemptId,
      pool: reusesConnections ? `leaving ${daemon.name}` : null,
      maxConnections: MAX_KEPT_CONNECTIONS,
      localAddress: null,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    };
    if (waitsForResponse) {
      void this.#environment.connections.send({ ...request, disconnect: null });
      return;
    }
    const byReset = this.#random.fraction() < 0.5;
    const afterMilliseconds =
      SHORTEST_CONNECTED_MILLISECONDS +
      (LONGEST_CONNECTED_MILLISECONDS - SHORTEST_CONNECTED_MILLISECONDS) * this.#random.fraction();
    void this.#environment.connections
      .sendAndDisconnect({ ...request, disconnect: { afterMilliseconds, byReset } })
      .then((at) => this.#recordDisconnected(attemptId, { at, daemon }));
  }

  #recordDisconnected(attemptId: string, abandoned: AbandonedRequest): void {
    this.#abandoned.set(attemptId, abandoned);
    const arrivedAt = this.#arrivedAt.get(attemptId);
    if (arrivedAt !== undefined) {
      this.#checkArrival(attemptId, arrivedAt, abandoned, 'a server');
    }
    void this.#checkNotProcessed(attemptId);
  }

  async #checkNotProcessed(attemptId: string): Promise<void> {
    const abandoned = this.#abandoned.get(attemptId) as AbandonedRequest;
    const remainingTime = (): number => this.#checkedSince(abandoned) + MAX_DELAY_MILLISECONDS - now();
    const { daemon } = abandoned;
    while (daemon.isPaused || (daemon.isRunning && !daemon.isScheduled) || remainingTime() > 0) {
      await pause(Math.max(SHORTEST_PAUSE_MILLISECONDS, remainingTime()));
      // The end of the server's connection may have arrived in time and be unread.
      await socketsRead();
    }
    const server = this.#environment
      .servers()
      .find(({ attemptsInProgress }) => attemptsInProgress.has(attemptId));
    if (server !== undefined) {
      const delay = Math.round(now() - this.#checkedSince(abandoned));
      const detail = `${attemptId} at ${server.id}, ${delay} ms`;
      this.#promises.fail('nobody works for callers that have left', detail);
    }
  }
}
