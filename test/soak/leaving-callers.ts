/**
 * Callers that leave 50 to 500 ms after they have sent, on kept and on new connections, by close and by reset, while daemons stutter. Checks that no server
 * gets their requests half a second later, or still works on them.
 */
import { Agent, request } from 'node:http';
import { SeededRandom } from '../../src/core/random.js';
import type { DaemonProcess } from './daemon-process.js';
import { HOST } from './deployment.js';
import type { NoticeCheck, Promises } from './promises.js';
import { type ServerStandIn, SLOW_MARK } from './server-stand-in.js';

/**
 * Nothing of a caller may reach a server for longer than this after it has left, also if its daemon stood still meanwhile, nor be worked on for longer
 * after that or after the daemon went on.
 */
const BOUND = 500;
const SHORTEST_STAY = 50;
const LONGEST_STAY = 500;
const CALL_INTERVAL = 25;
const LAST_KEY = 65_535;
/** One in so many requests is waited for, so that kept connections are used. */
const ANSWERED_OF = 3;
const SHORTEST_STOP = 100;
const LONGEST_STOP = 2_000;
const LONGEST_GAP = 400;

/** What a run lends to its callers. */
export interface LeavingWorld {
  readonly daemons: readonly DaemonProcess[];
  servers(): readonly ServerStandIn[];
}

/** A request whose caller has left. */
interface LeftRequest {
  readonly at: number;
  readonly daemon: DaemonProcess;
}

export class LeavingCallers implements NoticeCheck {
  readonly #random: SeededRandom;
  readonly #promises: Promises;
  readonly #world: LeavingWorld;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 20 });
  readonly #left = new Map<string, LeftRequest>();
  #next = 1;
  #finished = false;

  constructor(seed: number, promises: Promises, world: LeavingWorld) {
    this.#random = new SeededRandom(seed);
    this.#promises = promises;
    this.#world = world;
  }

  /** Calls and stutters for a time. */
  async run(length: number): Promise<void> {
    const stutters = this.#world.daemons.map((daemon) => this.#stutter(daemon));
    const end = performance.now() + length;
    while (performance.now() < end) {
      this.#call();
      await pause(CALL_INTERVAL);
    }
    this.#finished = true;
    await Promise.all(stutters);
    await pause(LONGEST_STAY + BOUND);
    this.#agent.destroy();
  }

  onArrival(server: ServerStandIn, attemptId: string): void {
    const left = this.#left.get(attemptId);
    if (left !== undefined && performance.now() > left.at + BOUND) {
      const late = Math.round(performance.now() - left.at);
      this.#promises.fail(
        'nothing is sent on for callers that have left',
        `${attemptId} at ${server.id}, ${late} ms`,
      );
    }
  }

  onAnswer(): void {
    // Answers are no matter here.
  }

  #since({ at, daemon }: LeftRequest): number {
    return Math.max(at, daemon.resumedAt);
  }

  /** A daemon stands still again and again, for a short time or a long one. */
  async #stutter(daemon: DaemonProcess): Promise<void> {
    while (!this.#finished) {
      await pause(LONGEST_GAP * this.#random.fraction() * 4);
      if (daemon.isRunning && !daemon.stopping && !daemon.paused && !this.#finished) {
        daemon.signal('SIGSTOP');
        await pause(SHORTEST_STOP + (LONGEST_STOP - SHORTEST_STOP) * this.#random.fraction() ** 3);
        daemon.signal('SIGCONT');
      }
    }
  }

  #call(): void {
    const { daemons } = this.#world;
    const daemon = daemons[Math.floor(this.#random.fraction() * daemons.length)];
    if (daemon === undefined) {
      return;
    }
    const attemptId = `${daemon.name}-leaving-${this.#next}`;
    this.#next += 1;
    const stays = this.#next % ANSWERED_OF === 0;
    const [host, port] = daemon.ports.http.split(':');
    const isKeyed = this.#random.fraction() < 0.5;
    const path = `${isKeyed ? '/keyed/' : '/once/'}${stays ? '' : SLOW_MARK}`;
    const headers = {
      host: HOST,
      'fennelferry-attempt-id': attemptId,
      'fennelferry-deadline-ms': '2500',
      'fennelferry-shard-key': String(Math.floor(this.#random.fraction() * LAST_KEY)),
    };
    const agent = this.#random.fraction() < 0.5 ? this.#agent : false;
    const method = isKeyed ? 'GET' : 'POST';
    const sent = request({ host, port, path, method, agent, headers }, (answer) => answer.resume());
    sent.on('error', () => undefined);
    sent.end();
    if (!stays) {
      const resets = this.#random.fraction() < 0.5;
      const stay = SHORTEST_STAY + (LONGEST_STAY - SHORTEST_STAY) * this.#random.fraction();
      setTimeout(() => {
        if (resets) {
          sent.socket?.resetAndDestroy();
        } else {
          sent.destroy();
        }
        this.#left.set(attemptId, { at: performance.now(), daemon });
        setTimeout(() => this.#checkWork(attemptId), BOUND);
      }, stay);
    }
  }

  #checkWork(attemptId: string): void {
    const left = this.#left.get(attemptId) as LeftRequest;
    const remaining = this.#since(left) + BOUND - performance.now();
    if (left.daemon.paused || remaining > 0) {
      setTimeout(() => this.#checkWork(attemptId), Math.max(SHORTEST_STOP, remaining));
      return;
    }
    const server = this.#world.servers().find(({ working }) => working.has(attemptId));
    if (server !== undefined) {
      this.#promises.fail('nobody works for callers that have left', `${attemptId} at ${server.id}`);
    }
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
