/**
 * Connections between daemons: each child holds one to its parent; messages go both ways on it, as protobuf frames with
 * a length before each. Delivery is best effort.
 */
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { PROCESS_BARRIER } from '../event-loop/poll-barrier.js';
import type { PeerMessage } from '../router/peers/messages.js';
import { FrameReader } from '../runtime/peer-transport.js';
import { splitAddress } from '../settings/address.js';
import { listen } from './listen.js';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';

const LENGTH_BYTES = 4;
/** A peer that takes nothing off its connection is cut off at this backlog. */
const LARGEST_BACKLOG_BYTES = 1024 * 1024;
const RECONNECT_MILLISECONDS = 150;
const CONNECT_TIMEOUT_MILLISECONDS = 600;
/** A connection to a parent that says nothing for this long is made anew. */
const SILENCE_MILLISECONDS = 1_500;

/** What the links tell their owner. */
export interface PeerLinksListener {
  onMessage(link: number, message: PeerMessage): void;
  /** A child's connection ended. */
  onLeft(link: number): void;
  /** The connection to the parent is up. */
  onParentOpened(): void;
  /** The connection to the parent ended or could not be made. */
  onParentClosed(address: string, refused: boolean): void;
  onMalformed(peer: string, detail: string): void;
}

function frame(message: PeerMessage): Buffer {
  const bytes = encodePeerMessage(message);
  const framed = Buffer.allocUnsafe(LENGTH_BYTES + bytes.length);
  framed.writeUInt32BE(bytes.length, 0);
  framed.set(bytes, LENGTH_BYTES);
  return framed;
}

/** Ends a connection whose time is over, unless it has come up or brought something that had not been read yet. */
function endUnlessAlive(socket: Socket): void {
  const { connecting, bytesRead } = socket;
  PROCESS_BARRIER.afterPoll(() => {
    if (socket.connecting === connecting && socket.bytesRead === bytesRead) {
      socket.destroy();
    }
  });
}

export class PeerLinks {
  readonly #listener: PeerLinksListener;
  readonly #server: Server;
  readonly #children = new Map<number, Socket>();
  #nextLink = 1;
  #parentAddress: string | null = null;
  #parent: Socket | null = null;
  #reconnect: NodeJS.Timeout | undefined;
  #closed = false;

  constructor(listener: PeerLinksListener) {
    this.#listener = listener;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Listens for children. Rejects when the address is taken. */
  listen(address: string): Promise<void> {
    return listen(this.#server, address);
  }

  /** Keeps a connection to the parent at an address; to none when it is null. */
  follow(address: string | null): void {
    this.#parentAddress = address;
    clearTimeout(this.#reconnect);
    const former = this.#parent;
    this.#parent = null;
    // What was written to it still goes out: who leads now, for example.
    former?.destroySoon();
    this.#connect();
  }

  /** Sends to the parent, if there is a connection. */
  sendToParent(message: PeerMessage): void {
    if (this.#parent !== null) {
      this.#write(this.#parent, frame(message));
    }
  }

  /** Sends to one child, or to all. */
  sendToChildren(link: number | null, message: PeerMessage): void {
    const bytes = frame(message);
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

  /** Closes every connection and the port. */
  close(): void {
    this.#closed = true;
    clearTimeout(this.#reconnect);
    this.#parent?.destroy();
    this.#server.close();
    for (const socket of this.#children.values()) {
      socket.destroy();
    }
  }

  #write(socket: Socket, bytes: Buffer): void {
    if (socket.writableLength > LARGEST_BACKLOG_BYTES) {
      socket.destroy();
    } else {
      socket.write(bytes);
    }
  }

  #connect(): void {
    const address = this.#parentAddress;
    if (address === null || this.#closed) {
      return;
    }
    const { host, port } = splitAddress(address);
    const socket = createConnection({ host, port, noDelay: true });
    this.#parent = socket;
    let refused = false;
    socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS);
    socket.on('timeout', () => endUnlessAlive(socket));
    socket.once('connect', () => {
      socket.setTimeout(SILENCE_MILLISECONDS);
      this.#listener.onParentOpened();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      refused = error.code === 'ECONNREFUSED';
    });
    socket.on('close', () => {
      if (this.#parent === socket) {
        this.#parent = null;
        this.#reconnect = setTimeout(() => this.#connect(), RECONNECT_MILLISECONDS);
        this.#listener.onParentClosed(address, refused);
      }
    });
    this.#read(socket, 0);
  }

  #accept(socket: Socket): void {
    const link = this.#nextLink;
    this.#nextLink += 1;
    this.#children.set(link, socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.#children.delete(link);
      this.#listener.onLeft(link);
    });
    this.#read(socket, link);
  }

  #read(socket: Socket, link: number): void {
    const reader = new FrameReader();
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.on('data', (bytes: Buffer) => {
      for (const part of reader.push(bytes) ?? [Buffer.alloc(0)]) {
        const message = decodePeerMessage(part, peer);
        if (message.isErr()) {
          socket.destroy();
          this.#listener.onMalformed(peer, message.error.message);
          return;
        }
        this.#listener.onMessage(link, message.value);
      }
    });
  }
}
