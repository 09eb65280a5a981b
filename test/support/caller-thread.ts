/** Callers on a thread of their own, as a worker: they send and leave while the main thread's loop is held up. */
import { createConnection, type Socket } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

/** How callers leave. `halfClose`: they end their side only, and would still read an answer. `stay`: they don't. */
export type Leaving = 'close' | 'reset' | 'halfClose' | 'stay';

/** What the thread is asked for. */
export interface CallerThreadData {
  readonly port: number;
  /** Its first cell is set to one when every caller has left, its last by the other thread when they may. */
  readonly left: Int32Array;
}

/** Each caller opens a connection. */
export interface ConnectCommand {
  readonly kind: 'connect';
  readonly callers: number;
  /** Sent first on each connection; its answer is awaited. Null: connections are as new. */
  readonly first: string | null;
}
/** Each caller sends its request's pieces and leaves. */
export interface LeaveCommand {
  readonly kind: 'leave';
  readonly leaving: Leaving;
  /** Requests by caller, each in the pieces that are sent one after the other. */
  readonly pieces: readonly (readonly string[])[];
}
export type CallerCommand = ConnectCommand | LeaveCommand;

const MAY_LEAVE_CELL = 2;
const LAST_BYTES = '\r\n\r\n';
const { port, left } = workerData as CallerThreadData;
let sockets: Socket[] = [];

function opened(first: string | null): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = createConnection({ host: '127.0.0.1', port, allowHalfOpen: true, noDelay: true });
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      if (first === null) {
        resolve(socket);
        return;
      }
      socket.on('data', (bytes) => bytes.includes(LAST_BYTES) && resolve(socket));
      socket.write(first);
    });
  });
}

function written(socket: Socket, bytes: string): Promise<void> {
  return new Promise((resolve) => void socket.write(bytes, () => resolve()));
}

async function send(socket: Socket, pieces: readonly string[]): Promise<void> {
  for (const piece of pieces) {
    await written(socket, piece);
  }
}

async function leave(socket: Socket, leaving: Leaving): Promise<void> {
  if (leaving === 'stay') {
    return;
  }
  const isOver = new Promise((resolve) => socket.once(leaving === 'halfClose' ? 'finish' : 'close', resolve));
  if (leaving === 'halfClose') {
    socket.end();
  } else if (leaving === 'reset') {
    socket.resetAndDestroy();
  } else {
    socket.destroy();
  }
  await isOver;
}

async function perform(command: CallerCommand): Promise<void> {
  if (command.kind === 'connect') {
    const { callers, first } = command;
    sockets = await Promise.all(Array.from({ length: callers }, () => opened(first)));
    parentPort?.postMessage('connected');
    return;
  }
  const { leaving, pieces } = command;
  await Promise.all(sockets.map((socket, index) => send(socket, pieces[index] ?? [])));
  Atomics.wait(left, MAY_LEAVE_CELL, 0);
  await Promise.all(sockets.map((socket) => leave(socket, leaving)));
  Atomics.store(left, 0, 1);
  Atomics.notify(left, 0);
}

let done: Promise<void> = Promise.resolve();
parentPort?.on('message', (command: CallerCommand) => {
  done = done.then(() => perform(command));
});
