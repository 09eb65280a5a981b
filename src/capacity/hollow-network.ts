/**
 * The network of hollow daemons: real frames over loopback TCP, but one connection for each pair of
 * processes instead of one for each pair of daemons. What crosses it is counted for the daemon that
 * sends and the one that receives.
 */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { FrameReader } from '../runtime/peer-transport.js';

/** What a frame carries. */
export const FRAME_ENVELOPE = 0;
export const FRAME_CONTROL_CALL = 1;
export const FRAME_CONTROL_REPLY = 2;

const HEADER_BYTES = 9;

/** Takes a frame for something that lives in this process. */
export type FrameHandler = (type: number, target: number, payload: Buffer) => void;

/** The network end of one process. */
export class HollowNetwork {
  readonly #processIndex: number;
  readonly #processCount: number;
  readonly #handle: FrameHandler;
  readonly #sockets = new Map<number, Socket>();
  readonly #server: Server;
  #ports: readonly number[] = [];

  constructor(processIndex: number, processCount: number, handle: FrameHandler) {
    this.#processIndex = processIndex;
    this.#processCount = processCount;
    this.#handle = handle;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Listens on a free port and resolves with it. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        const address = this.#server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : 0);
      });
    });
  }

  /** Tells the ports of all processes. */
  connect(ports: readonly number[]): void {
    this.#ports = ports;
  }

  /** Sends a frame to whatever `target` names; its process follows from the number. */
  send(type: number, target: number, payload: Uint8Array): void {
    const owner = target % this.#processCount;
    if (owner === this.#processIndex) {
      const copy = Buffer.from(payload);
      setImmediate(() => this.#handle(type, target, copy));
      return;
    }
    const header = Buffer.allocUnsafe(HEADER_BYTES);
    header.writeUInt32BE(HEADER_BYTES - 4 + payload.length, 0);
    header.writeUInt8(type, 4);
    header.writeUInt32BE(target, 5);
    const socket = this.#socketTo(owner);
    socket.cork();
    socket.write(header);
    socket.write(payload);
    process.nextTick(() => socket.uncork());
  }

  #socketTo(owner: number): Socket {
    let socket = this.#sockets.get(owner);
    if (socket === undefined) {
      socket = createConnection({ host: '127.0.0.1', port: this.#ports[owner] ?? 0, noDelay: true });
      socket.on('error', () => undefined);
      this.#sockets.set(owner, socket);
    }
    return socket;
  }

  #accept(socket: Socket): void {
    const reader = new FrameReader();
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      for (const frame of reader.push(bytes) ?? []) {
        this.#handle(frame.readUInt8(0), frame.readUInt32BE(1), frame.subarray(5));
      }
    });
  }
}
