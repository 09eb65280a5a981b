/** Sends requests to one daemon over keep-alive connections, which only the daemon closes. */
import type { CallerConnections } from './caller-connections.js';
import type { DaemonProcess } from './daemon-process.js';
import { HOST, mayRunOnce } from './deployment.js';
import { CRASHING_PATH_PART } from './fake-server.js';
import type { CallerOutcome, PromiseChecker } from './promise-checker.js';

const TIMEOUT_MILLISECONDS = 2_500;
const MAX_CONNECTIONS = 3;
const LAST_KEY = 65_535;

export class Caller {
  readonly daemon: DaemonProcess;
  readonly #promises: PromiseChecker;
  readonly #connections: CallerConnections;
  /** Local address of the connections: the callers of each daemon have an address of their own. */
  readonly #address: string;
  #nextAttempt = 1;

  constructor(
    daemon: DaemonProcess,
    promises: PromiseChecker,
    connections: CallerConnections,
    address: string,
  ) {
    this.daemon = daemon;
    this.#promises = promises;
    this.#connections = connections;
    this.#address = address;
  }

  /** Sends a request and resolves with its outcome. */
  async call(path: string, key = 0): Promise<CallerOutcome> {
    const { name: daemon } = this.daemon;
    const attemptId = `${daemon}-${this.#nextAttempt}`;
    this.#nextAttempt += 1;
    const [host = '', port = ''] = this.daemon.ports.http.split(':');
    const { sentAt, endedAt, status, body, ending } = await this.#connections.send({
      attemptId,
      host,
      port,
      path,
      method: mayRunOnce(path) ? 'POST' : 'GET',
      headers: {
        host: HOST,
        'fennelferry-attempt-id': attemptId,
        'fennelferry-deadline-ms': String(TIMEOUT_MILLISECONDS),
        'fennelferry-shard-key': String(key % (LAST_KEY + 1)),
      },
      // A request that crashes servers is the same each time.
      body: mayRunOnce(path) && !path.includes(CRASHING_PATH_PART) ? attemptId : null,
      pool: daemon,
      maxConnections: MAX_CONNECTIONS,
      localAddress: this.#address,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      disconnect: null,
    });
    const duringPlannedStop = this.daemon.wasStopping(endedAt);
    const times = { sentAt, endedAt, duringPlannedStop };
    const outcome = { attemptId, path, daemon, status, reason: body, ending, ...times };
    this.#promises.recordOutcome(outcome);
    return outcome;
  }
}
