/**
 * Connections between daemons in the propagation tree. Each child keeps one connection to its parent; messages travel both ways on it
 * as length-prefixed protobuf frames. Delivery is best effort.
 */
import { createServer, type Server, type Socket } from 'node:net';
import { PROCESS_POLL_BARRIER } from '../event-loop/poll-barrier.js';
import { hostAndPort, type Address } from '../router/model/address.js';
import type { PeerMessage } from '../router/peers/messages.js';
import { openSocket } from '../runtime/open-socket.js';
import { FrameReader } from '../runtime/peer-transport.js';
import { listen } from './listen.js';
import { RecentOutput } from './peer-output.js';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';

const LENGTH_BYTES = 4;
/** The connection to a peer that doesn't read is closed when more than this is queued for it. */
const MAX_BACKLOG_BYTES = 1024 * 1024;
const RECONNECT_DELAY_MILLISECONDS = 150;
/** The longest delay after messages that could not be parsed. */
const MAX_RECONNECT_DELAY_MILLISECONDS = 2_400;
const CONNECT_TIMEOUT_MILLISECONDS = 600;
/** A connection to a parent on which nothing arrives for this long is closed and opened again. */
const IDLE_TIMEOUT_MILLISECONDS = 1_500;

/** Receives messages and changes of connections. */
export interface PeerLinksListener {
  onMessage(link: number, message: PeerMessage): void;
  /** The connection to a child was closed. */
  onChildClosed(link: number): void;
  /** The connection to the parent was established. */
  onParentOpened(): void;
  /** The connection to the parent was closed or could not be established. */
  onParentClosed(address: Address, isRefused: boolean): void;
  /** Bytes of a peer were no message. Its connection is closed. */
  onMalformed(peer: string, detail: string): void;
  /** An item of a message was left out. */
  onMalformedItem(peer: string, detail: string): void;
}

function encodeFrame(message: PeerMessage): Buffer {
  const bytes = encodePeerMessage(message);
  const framed = Buffer.allocUnsafe(LENGTH_BYTES + bytes.length);
  framed.writeUInt32BE(bytes.length, 0);
  framed.set(bytes, LENGTH_BYTES);
  return framed;
}

/** Closes a connection that has timed out, unless the next poll shows that it was established or received data in time. */
function destroyUnlessAlive(socket: Socket): void {
  const { connecting, bytesRead } = socket;
  PROCESS_POLL_BARRIER.afterPoll(() => {
    if (socket.connecting === connecting && socket.bytesRead === bytesRead) {
      socket.destroy();
    }
  });
}

export class PeerLinks {
  readonly #listener: PeerLinksListener;
  readonly #server: Server;
  readonly #children = new Map<number, Socket>();
  readonly #recentOutput = new RecentOutput(() => performance.now());
  #nextLink = 1;
  #parentAddress: Address | null = null;
  #parent: Socket | null = null;
  #reconnectTimer: NodeJS.Timeout | undefined;
  /** A malformed message ends the current connection to the parent. */
  #isParentMalformed = false;
  /** Connections to the parent in a row that have ended in this way. */
  #malformedInARow = 0;
  #isClosed = false;

  constructor(listener: PeerLinksListener) {
    this.#listener = listener;
    this.#server = createServer((socket) => this.#acceptChild(socket));
  }

  /** Listens for children. Rejects when the address is in use. */
  listen(address: Address): Promise<void> {
    return listen(this.#server, address);
  }

  /** Keeps a connection to the parent at an address, or to no parent if it is null. Replaces the former connection. */
  connectToParent(address: Address | null): void {
    this.#parentAddress = address;
    this.#isParentMalformed = false;
    this.#malformedInARow = 0;
    clearTimeout(this.#reconnectTimer);
    const formerParent = this.#parent;
    this.#parent = null;
    // Messages that are queued for the former parent are still sent, such as a notice of the new leader.
    formerParent?.destroySoon();
    this.#connectParent();
  }

  /** Sends a message to the parent. Drops it if there is no connection. */
  sendToParent(message: PeerMessage): void {
    if (this.#parent !== null) {
      this.#write(this.#parent, encodeFrame(message));
    }
  }

  /** Sends a message to the child with this link number, or to all children if it is null. */
  sendToChildren(link: number | null, message: PeerMessage): void {
    const bytes = encodeFrame(message);
    if (link !== null) {
      const socket = this.#children.get(link);
      if (socket !== undefined) {
        this.#write(socket, bytes);
      }
      return;
    }
    for (const socket of this.#children.values()) {
      this.#write(socket, bytes);
    }
  }

  /** Bytes for other daemons that the operating system has not accepted yet. */
  get unwrittenBytes(): number {
    const sockets = [...this.#children.values(), ...(this.#parent === null ? [] : [this.#parent])];
    return sockets.reduce((sum, { writableLength }) => sum + writableLength, 0);
  }

  /** Bytes written to other daemons lately, of which the operating system may hold some. */
  get recentlyWrittenBytes(): number {
    return this.#recentOutput.bytes;
  }

  /** Closes every connection and the listening socket. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#reconnectTimer);
    this.#parent?.destroy();
    this.#server.close();
    for (const socket of this.#children.values()) {
      socket.destroy();
    }
  }

  #write(socket: Socket, bytes: Buffer): void {
    if (socket.writableLength > MAX_BACKLOG_BYTES) {
      socket.destroy();
    } else {
      this.#recentOutput.record(bytes.length);
      socket.write(bytes);
    }
  }

  #connectParent(): void {
    const address = this.#parentAddress;
    if (address === null || this.#isClosed) {
      return;
    }
    const socket = openSocket(hostAndPort(address), true);
    this.#parent = socket;
    let isRefused = false;
    socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS);
    socket.on('timeout', () => destroyUnlessAlive(socket));
    socket.once('connect', () => {
      socket.setTimeout(IDLE_TIMEOUT_MILLISECONDS);
      this.#listener.onParentOpened();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      isRefused = error.code === 'ECONNREFUSED';
    });
    socket.on('close', () => {
      if (this.#parent === socket) {
        this.#parent = null;
        this.#malformedInARow = this.#isParentMalformed ? this.#malformedInARow + 1 : 0;
        this.#isParentMalformed = false;
        this.#reconnectTimer = setTimeout(() => this.#connectParent(), this.#reconnectDelay());
        this.#listener.onParentClosed(address, isRefused);
      }
    });
    this.#readMessages(socket, 0);
  }

  /** A parent whose messages are malformed would most likely send them again at once: the delay doubles with each of them. */
  #reconnectDelay(): number {
    return Math.min(
      MAX_RECONNECT_DELAY_MILLISECONDS,
      RECONNECT_DELAY_MILLISECONDS * 2 ** this.#malformedInARow,
    );
  }

  #acceptChild(socket: Socket): void {
    const link = this.#nextLink;
    this.#nextLink += 1;
    this.#children.set(link, socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.#children.delete(link);
      this.#listener.onChildClosed(link);
    });
    this.#readMessages(socket, link);
  }

  #readMessages(socket: Socket, link: number): void {
    const reader = new FrameReader();
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.on('data', (bytes: Buffer) => {
      for (const payload of reader.push(bytes) ?? [Buffer.alloc(0)]) {
        const message = decodePeerMessage(payload, peer, (detail) =>
          this.#listener.onMalformedItem(peer, detail),
        );
        if (message.isErr()) {
          this.#isParentMalformed ||= socket === this.#parent;
          socket.destroy();
          this.#listener.onMalformed(peer, message.error.message);
          return;
        }
        this.#listener.onMessage(link, message.value);
      }
    });
  }
}
