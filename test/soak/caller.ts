/** Sends requests to one daemon over keep-alive connections, which only the daemon closes. */
import { Agent, request } from 'node:http';
import type { DaemonProcess } from './daemon-process.js';
import { HOST } from './deployment.js';
import type { CallerOutcome, PromiseChecker } from './promise-checker.js';

const TIMEOUT_MILLISECONDS = 2_500;
const MAX_CONNECTIONS = 3;
const LAST_KEY = 65_535;
/** Status of a request whose caller gave up after its timeout. The router promises nothing for such requests. */
export const TIMED_OUT_STATUS = -1;

export class Caller {
  readonly daemon: DaemonProcess;
  readonly #promises: PromiseChecker;
  /** Local address of the connections: the callers of each daemon have an address of their own. */
  readonly #address: string;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS });
  #nextAttempt = 1;

  constructor(daemon: DaemonProcess, promises: PromiseChecker, address: string) {
    this.daemon = daemon;
    this.#promises = promises;
    this.#address = address;
  }

  /** Sends a request and resolves with its outcome. */
  call(path: string, key = 0): Promise<CallerOutcome> {
    const attemptId = `${this.daemon.name}-${this.#nextAttempt}`;
    this.#nextAttempt += 1;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      let hasEnded = false;
      const end = (status: number, reason = ''): void => {
        if (hasEnded) {
          return;
        }
        hasEnded = true;
        const duringPlannedStop = this.daemon.stopping && !this.daemon.isPaused;
        const { name: daemon } = this.daemon;
        const endedAt = performance.now();
        const outcome = { attemptId, path, daemon, sentAt, endedAt, status, reason, duringPlannedStop };
        this.#promises.recordOutcome(outcome);
        resolve(outcome);
      };
      this.#send(path, attemptId, key, end);
    });
  }

  close(): void {
    this.#agent.destroy();
  }

  #send(path: string, attemptId: string, key: number, end: (status: number, reason?: string) => void): void {
    const [host, port] = this.daemon.ports.http.split(':');
    const method = path.startsWith('/once/') ? 'POST' : 'GET';
    const headers = {
      host: HOST,
      'fennelferry-attempt-id': attemptId,
      'fennelferry-deadline-ms': String(TIMEOUT_MILLISECONDS),
      'fennelferry-shard-key': String(key % (LAST_KEY + 1)),
    };
    const endpoint = { host, port, path, localAddress: this.#address, agent: this.#agent };
    const sent = request({ ...endpoint, method, headers }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('end', () =>
        end(answer.complete ? (answer.statusCode ?? 0) : 0, Buffer.concat(chunks).toString()),
      );
      answer.on('error', () => end(0));
    });
    sent.setTimeout(TIMEOUT_MILLISECONDS, () => {
      end(TIMED_OUT_STATUS);
      sent.destroy();
    });
    sent.on('error', () => end(0));
    sent.end();
  }
}
