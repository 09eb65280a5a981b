/** Worker thread with callers that send requests and disconnect while the main thread's event loop is blocked. */
import { createConnection, type Socket } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

/** How callers disconnect. `halfClose`: they end only their side and could still read a response. `stay`: they do not disconnect. */
export type Disconnection = 'close' | 'reset' | 'halfClose' | 'stay';

/** Start data of the worker thread. */
export interface CallerThreadData {
  readonly port: number;
  /** Shared memory: this thread sets the first cell to 1 when every caller has disconnected, and the main thread sets the last cell to 1 when they may. */
  readonly left: Int32Array;
}

/** Makes each caller open a connection. */
export interface ConnectCommand {
  readonly kind: 'connect';
  readonly callers: number;
  /** Request that is sent and answered on each connection first, so that the connection is reused. Null: the connections stay unused. */
  readonly firstRequest: string | null;
}
/** Makes each caller send its request and disconnect. */
export interface DisconnectCommand {
  readonly kind: 'leave';
  readonly disconnection: Disconnection;
  /** Request of each caller, as the pieces in which it is sent. */
  readonly pieces: readonly (readonly string[])[];
}
export type CallerCommand = ConnectCommand | DisconnectCommand;

const MAY_DISCONNECT_CELL = 2;
const HEAD_END = '\r\n\r\n';
const { port, left } = workerData as CallerThreadData;
let sockets: Socket[] = [];

function openConnection(firstRequest: string | null): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = createConnection({ host: '127.0.0.1', port, allowHalfOpen: true, noDelay: true });
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      if (firstRequest === null) {
        resolve(socket);
        return;
      }
      socket.on('data', (bytes) => bytes.includes(HEAD_END) && resolve(socket));
      socket.write(firstRequest);
    });
  });
}

function writeBytes(socket: Socket, bytes: string): Promise<void> {
  return new Promise((resolve) => void socket.write(bytes, () => resolve()));
}

async function send(socket: Socket, pieces: readonly string[]): Promise<void> {
  for (const piece of pieces) {
    await writeBytes(socket, piece);
  }
}

async function disconnect(socket: Socket, disconnection: Disconnection): Promise<void> {
  if (disconnection === 'stay') {
    return;
  }
  const disconnected = new Promise((resolve) =>
    socket.once(disconnection === 'halfClose' ? 'finish' : 'close', resolve),
  );
  if (disconnection === 'halfClose') {
    socket.end();
  } else if (disconnection === 'reset') {
    socket.resetAndDestroy();
  } else {
    socket.destroy();
  }
  await disconnected;
}

async function perform(command: CallerCommand): Promise<void> {
  if (command.kind === 'connect') {
    const { callers, firstRequest } = command;
    sockets = await Promise.all(Array.from({ length: callers }, () => openConnection(firstRequest)));
    parentPort?.postMessage('connected');
    return;
  }
  const { disconnection, pieces } = command;
  await Promise.all(sockets.map((socket, index) => send(socket, pieces[index] ?? [])));
  Atomics.wait(left, MAY_DISCONNECT_CELL, 0);
  await Promise.all(sockets.map((socket) => disconnect(socket, disconnection)));
  Atomics.store(left, 0, 1);
  Atomics.notify(left, 0);
}

let lastCommand: Promise<void> = Promise.resolve();
parentPort?.on('message', (command: CallerCommand) => {
  lastCommand = lastCommand.then(() => perform(command));
});
