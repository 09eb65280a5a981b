/**
 * Runs a `CallerFrontend` whose event loop is blocked until callers on another thread have sent their requests and disconnected. Every request that the frontend
 * admits is forwarded to a server.
 */
import { listenOnLoopback, toAddress } from './addresses.js';
import { throwFailure } from './throw-failure.js';
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';
import { REQUEST_PROTOCOL } from '../../platform/protocol.js';
import { CallerFrontend } from '../../src/router-runtime/caller-frontend.js';
import { LoopMonitor } from '../../src/router-runtime/loop-monitor.js';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import { RegularTick, TICK_INTERVAL_MILLISECONDS } from '../../src/router-runtime/regular-tick.js';
import { ServerConnections } from '../../src/router-runtime/server-connections.js';
import type { RequestArrivedEvent, RouterEvent } from '../../src/router/events.js';
import type { CallerCommand, CallerThreadData, Disconnection } from './caller-thread.js';
import { RawServer } from './raw-server.js';

/** Event-loop turns after which no more events are expected. */
const SETTLED_TURNS = 200;
/** Most event-loop turns to wait for requests in flight. */
const MAX_TURNS = 20_000;
const MAY_DISCONNECT_CELL = 2;
/** Duration of a block on the clock of the front's poll barrier. */
const BLOCK_MILLISECONDS = 600;

/** Point at which the event loop is blocked until every caller has disconnected. */
export type BlockPoint =
  /** Before the front has read any bytes of the requests. */
  | 'reading'
  /** While the front admits the first request. */
  | 'takingIn'
  /** While the connection to the server is opened for the first request. */
  | 'connecting';

/** Outcome of the requests whose callers had disconnected. */
export interface BlockedLoopOutcome {
  /** Number of requests that reached the server. */
  readonly sent: number;
  /** Number of requests that the front still holds. */
  readonly inFlight: number;
  /** Number of ticks after the block that came before the last disconnection was detected. */
  readonly ticksBeforeLastDisconnect: number;
  /** Number of requests that had been read when the first one was admitted. */
  readonly readBeforeFirstAdmission: number;
}

export interface BlockedLoopCase {
  readonly callers: number;
  /** Whether the connections have carried a request before. */
  readonly reusesConnections: boolean;
  readonly disconnection: Disconnection;
  readonly blockedAt: BlockPoint;
  /** Returns the pieces in which a request is sent. */
  readonly splitRequest: (attemptId: string) => readonly string[];
}

function attemptIdOf(head: string): string {
  return /attempt-id: *(\S+)/i.exec(head)?.[1] ?? '';
}

function nextLoopTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

export class BlockedLoopFront {
  readonly events: RouterEvent[] = [];
  readonly #server: RawServer;
  /** Poll barrier whose clock advances only while the event loop is blocked. */
  readonly #barrier = new PollBarrier(() => this.#blockedMilliseconds);
  readonly #connections = new ServerConnections(this.#barrier);
  readonly #front: CallerFrontend;
  readonly #disconnectCells = new Int32Array(new SharedArrayBuffer(3 * Int32Array.BYTES_PER_ELEMENT));
  #thread: Worker | undefined;
  /** Monitors the ticks with which a daemon's reducer learns of the time. */
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
  /** Point at which the event loop is still to be blocked; null when it has been or need not be. */
  #blockPoint: BlockPoint | null = null;
  #blockedMilliseconds = 0;
  #readBeforeFirstAdmission = 0;
  /** Number of events until the block ended. */
  #eventsBeforeUnblocking = 0;

  private constructor(server: RawServer) {
    this.#server = server;
    this.#front = new CallerFrontend({
      protocol: REQUEST_PROTOCOL,
      connections: this.#connections,
      proxyConnections: new ServerConnections(this.#barrier),
      barrier: this.#barrier,
      dispatch: (event) => this.#handleEvent(event),
      loop: {
        readDelay: () => this.#monitor.maxUnreadTime(performance.now()),
        isOnTime: () => this.#monitor.isOnTime(performance.now()),
      },
      longestReadDelay: () => null,
      isWriteAllowed: () => true,
      onFailure: throwFailure,
    });
  }

  static async start(): Promise<BlockedLoopFront> {
    const answer = (socket: { write(text: string): void }, head: string): void => {
      const id = attemptIdOf(head);
      socket.write(
        `HTTP/1.1 200 OK\r\nFennelferry-Attempt-Id: ${id}\r\nFennelferry-Server-Seal: s.1\r\nContent-Length: 0\r\n\r\n`,
      );
    };
    const heldUp = new BlockedLoopFront(await RawServer.start(answer));
    await listenOnLoopback(heldUp.#front.server);
    heldUp.#tick.start();
    heldUp.#barrier.setLoopCheck(() => heldUp.#monitor.isOnTime(performance.now()));
    const { port } = heldUp.#front.server.address() as AddressInfo;
    const workerData: CallerThreadData = { port, left: heldUp.#disconnectCells };
    heldUp.#thread = new Worker(new URL('caller-thread.js', import.meta.url), { workerData });
    return heldUp;
  }

  /** Runs a case and returns its outcome. */
  async runCase({
    callers,
    reusesConnections: isKept,
    disconnection: leaving,
    blockedAt: heldAt,
    splitRequest: piecesOf,
  }: BlockedLoopCase): Promise<BlockedLoopOutcome> {
    const firstRequest = isKept
      ? `GET /a HTTP/1.1\r\nHost: h\r\nFennelferry-Attempt-Id: first\r\n\r\n`
      : null;
    const connect: CallerCommand = { kind: 'connect', callers, firstRequest };
    if (isKept) {
      await this.#connect(connect);
    } else {
      // The connections arrive while the event loop is blocked, so that none has been accepted.
      this.#post(connect);
    }
    const ids = Array.from({ length: callers }, (_, index) => `late-${index}`);
    Atomics.store(this.#disconnectCells, 0, 0);
    this.#blockPoint = heldAt;
    Atomics.store(this.#disconnectCells, MAY_DISCONNECT_CELL, heldAt === 'connecting' ? 0 : 1);
    this.#post({ kind: 'leave', disconnection: leaving, pieces: ids.map((id) => piecesOf(id)) });
    if (heldAt === 'reading') {
      this.#blockLoop();
    }
    await this.#waitUntilSettled();
    const sent = this.#server.heads
      .map(attemptIdOf)
      .filter((id) => ids.some((prefix) => id.startsWith(prefix)));
    return {
      sent: sent.length,
      inFlight: this.#front.inFlight,
      ticksBeforeLastDisconnect: this.#ticksBeforeLastDisconnect(),
      readBeforeFirstAdmission: this.#readBeforeFirstAdmission,
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

  #handleEvent(event: RouterEvent): void {
    this.events.push(event);
    if (event.kind === 'requestArrived') {
      if (event.attemptId !== 'first' && this.#readBeforeFirstAdmission === 0) {
        this.#readBeforeFirstAdmission = this.#front.inFlight;
      }
      const heldAt = event.attemptId === 'first' ? null : this.#blockPoint;
      if (heldAt === 'takingIn') {
        this.#blockLoop();
      }
      this.#forward(event);
      if (heldAt === 'connecting') {
        // By the next tick, the connection to the server has been requested.
        process.nextTick(() => this.#blockLoop());
      }
    }
  }

  #forward({ requestId }: RequestArrivedEvent): void {
    const target = { server: 'i-1', address: toAddress(this.#server.address) };
    const options = { timeLeft: 500, buffer: true, isLimited: false, repeatable: true };
    this.#front.attempts.forward({ kind: 'forward', requestId, attempt: 1, ...target, ...options });
  }

  #blockLoop(): void {
    if (this.#blockPoint === null) {
      return;
    }
    this.#blockPoint = null;
    Atomics.store(this.#disconnectCells, MAY_DISCONNECT_CELL, 1);
    Atomics.notify(this.#disconnectCells, MAY_DISCONNECT_CELL);
    Atomics.wait(this.#disconnectCells, 0, 0);
    // Blocks for several tick intervals, so that ticks are late.
    Atomics.wait(this.#disconnectCells, 1, 0, 4 * TICK_INTERVAL_MILLISECONDS);
    this.#blockedMilliseconds += BLOCK_MILLISECONDS;
    this.#eventsBeforeUnblocking = this.events.length;
  }

  #ticksBeforeLastDisconnect(): number {
    const kinds = this.events.slice(this.#eventsBeforeUnblocking).map(({ kind }) => kind);
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

  /** Waits until every caller has disconnected and no request is in flight. */
  async #waitUntilSettled(): Promise<void> {
    while (Atomics.load(this.#disconnectCells, 0) === 0) {
      await nextLoopTurn();
    }
    for (
      let turns = 0;
      turns < SETTLED_TURNS || (this.#front.inFlight > 0 && turns < MAX_TURNS);
      turns += 1
    ) {
      await nextLoopTurn();
    }
  }
}
