/**
 * A front for callers whose loop is held up: its thread stands still until callers on another thread have sent their requests and left.
 * Every request that it takes in is sent to a server.
 */
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';
import { REQUEST_PROTOCOL } from '../../platform/protocol.js';
import { CallerFrontend } from '../../src/router-runtime/caller-frontend.js';
import { LoopMonitor } from '../../src/router-runtime/loop-monitor.js';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import { RegularTick, TICK_INTERVAL_MILLISECONDS } from '../../src/router-runtime/regular-tick.js';
import { ServerConnections } from '../../src/router-runtime/server-connections.js';
import type { RequestArrivedEvent, RouterEvent } from '../../src/router/events.js';
import type { CallerCommand, CallerThreadData, Leaving } from './caller-thread.js';
import { RawServer } from './raw-server.js';

/** Turns of the loop after which nothing more happens, and those for which requests under way are waited for. */
const SETTLED_TURNS = 200;
const MOST_TURNS = 20_000;
const MAY_LEAVE_CELL = 2;
/** What a hold takes on the clock of the front. */
const HOLD_MILLISECONDS = 600;

/** When the loop is held up until every caller has left. */
export type HeldAt =
  /** Before it has read anything of their requests. */
  | 'reading'
  /** While it takes in the first of them. */
  | 'takingIn'
  /** While the connection to the server comes up for the first of them. */
  | 'connecting';

/** What became of the requests whose callers had left. */
export interface HeldUpOutcome {
  /** Those that reached the server. */
  readonly sent: number;
  /** Those that the front still holds. */
  readonly inFlight: number;
  /** Ticks after the hold that came before the last of the callers' ends was known. */
  readonly ticksBeforeEnds: number;
  /** Requests that had been read when the first one was taken in. */
  readonly readBeforeFirst: number;
}

export interface HeldUpCase {
  readonly callers: number;
  /** The connections have had a request before. */
  readonly isKept: boolean;
  readonly leaving: Leaving;
  readonly heldAt: HeldAt;
  /** Pieces in which a request is sent. */
  readonly piecesOf: (attemptId: string) => readonly string[];
}

function attemptIdOf(head: string): string {
  return /attempt-id: *(\S+)/i.exec(head)?.[1] ?? '';
}

function turn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

export class HeldUpFront {
  readonly events: RouterEvent[] = [];
  readonly #server: RawServer;
  /** Only holding the loop up takes time on this clock. */
  readonly #barrier = new PollBarrier(() => this.#heldFor);
  readonly #connections = new ServerConnections(this.#barrier);
  readonly #front: CallerFrontend;
  readonly #left = new Int32Array(new SharedArrayBuffer(3 * Int32Array.BYTES_PER_ELEMENT));
  #thread: Worker | undefined;
  /** Passes of time as a daemon's reducer hears of them. */
  readonly #monitor = new LoopMonitor(TICK_INTERVAL_MILLISECONDS, {
    onTick: () => undefined,
    onFellBehind: () => undefined,
    onCaughtUp: () => undefined,
  });
  readonly #tick = new RegularTick(
    this.#monitor,
    this.#barrier,
    () => performance.now(),
    () => this.events.push({ kind: 'tick' }),
  );
  /** Where the loop is still to be held up. */
  #heldAt: HeldAt | null = null;
  #heldFor = 0;
  #readBeforeFirst = 0;
  /** Events until the hold was over. */
  #eventsBefore = 0;

  private constructor(server: RawServer) {
    this.#server = server;
    this.#front = new CallerFrontend({
      protocol: REQUEST_PROTOCOL,
      connections: this.#connections,
      barrier: this.#barrier,
      dispatch: (event) => this.#take(event),
      loop: {
        readDelay: () => this.#monitor.maxUnreadTime(performance.now()),
        isOnTime: () => this.#monitor.isOnTime(performance.now()),
      },
      longestReadDelay: () => null,
    });
  }

  static async start(): Promise<HeldUpFront> {
    const answer = (socket: { write(text: string): void }, head: string): void => {
      const id = attemptIdOf(head);
      socket.write(
        `HTTP/1.1 200 OK\r\nFennelferry-Attempt-Id: ${id}\r\nFennelferry-Server-Seal: s.1\r\nContent-Length: 0\r\n\r\n`,
      );
    };
    const made = new HeldUpFront(await RawServer.start(answer));
    await made.#front.listen('127.0.0.1:0');
    made.#tick.start();
    made.#barrier.setLoopCheck(() => made.#monitor.isOnTime(performance.now()));
    const { port } = made.#front.server.address() as AddressInfo;
    const workerData: CallerThreadData = { port, left: made.#left };
    made.#thread = new Worker(new URL('caller-thread.js', import.meta.url), { workerData });
    return made;
  }

  /** Plays a case. */
  async play({ callers, isKept, leaving, heldAt, piecesOf }: HeldUpCase): Promise<HeldUpOutcome> {
    const first = isKept ? `GET /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: first\r\n\r\n` : null;
    const connect: CallerCommand = { kind: 'connect', callers, first };
    if (isKept) {
      await this.#connect(connect);
    } else {
      // They come while the loop is held up: nobody has accepted their connections.
      this.#post(connect);
    }
    const ids = Array.from({ length: callers }, (_, index) => `late-${index}`);
    Atomics.store(this.#left, 0, 0);
    this.#heldAt = heldAt;
    Atomics.store(this.#left, MAY_LEAVE_CELL, heldAt === 'connecting' ? 0 : 1);
    this.#post({ kind: 'leave', leaving, pieces: ids.map((id) => piecesOf(id)) });
    if (heldAt === 'reading') {
      this.#hold();
    }
    await this.#settled();
    const sent = this.#server.heads.map(attemptIdOf).filter((id) => ids.some((late) => id.startsWith(late)));
    return {
      sent: sent.length,
      inFlight: this.#front.inFlight,
      ticksBeforeEnds: this.#ticksBeforeEnds(),
      readBeforeFirst: this.#readBeforeFirst,
    };
  }

  async close(): Promise<void> {
    this.#tick.stop();
    await this.#thread?.terminate();
    this.#connections.close();
    this.#front.closeAll();
    this.#front.closeIdle();
    await this.#server.close();
  }

  #take(event: RouterEvent): void {
    this.events.push(event);
    if (event.kind === 'requestArrived') {
      if (event.attemptId !== 'first' && this.#readBeforeFirst === 0) {
        this.#readBeforeFirst = this.#front.inFlight;
      }
      const heldAt = event.attemptId === 'first' ? null : this.#heldAt;
      if (heldAt === 'takingIn') {
        this.#hold();
      }
      this.#forward(event);
      if (heldAt === 'connecting') {
        // By then the connection has been asked for.
        process.nextTick(() => this.#hold());
      }
    }
  }

  #forward({ requestId }: RequestArrivedEvent): void {
    const place = { server: 'i-1', address: this.#server.address };
    const terms = { timeLeft: 500, buffer: true, isLimited: false };
    this.#front.forward({ kind: 'forward', requestId, attempt: 1, ...place, ...terms });
  }

  #hold(): void {
    if (this.#heldAt === null) {
      return;
    }
    this.#heldAt = null;
    Atomics.store(this.#left, MAY_LEAVE_CELL, 1);
    Atomics.notify(this.#left, MAY_LEAVE_CELL);
    Atomics.wait(this.#left, 0, 0);
    // Ticks are late by then.
    Atomics.wait(this.#left, 1, 0, 4 * TICK_INTERVAL_MILLISECONDS);
    this.#heldFor += HOLD_MILLISECONDS;
    this.#eventsBefore = this.events.length;
  }

  #ticksBeforeEnds(): number {
    const kinds = this.events.slice(this.#eventsBefore).map(({ kind }) => kind);
    return kinds.slice(0, kinds.lastIndexOf('callerLeft')).filter((kind) => kind === 'tick').length;
  }

  #post(command: CallerCommand): void {
    this.#thread?.postMessage(command);
  }

  async #connect(command: CallerCommand): Promise<void> {
    const connected = new Promise((resolve) => this.#thread?.once('message', resolve));
    this.#post(command);
    await connected;
  }

  /** Every caller has left, and nothing is under way. */
  async #settled(): Promise<void> {
    while (Atomics.load(this.#left, 0) === 0) {
      await turn();
    }
    for (
      let turns = 0;
      turns < SETTLED_TURNS || (this.#front.inFlight > 0 && turns < MOST_TURNS);
      turns += 1
    ) {
      await turn();
    }
  }
}
