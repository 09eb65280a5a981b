/**
 * Transports envelopes between daemons: length-prefixed protobuf frames over one TCP connection for each
 * direction of a pair. Delivery is best effort; the reducer tolerates lost messages.
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { Counters } from '../core/counters.js';
import type { Envelope } from '../core/messages.js';
import { splitAddress } from '../settings/address.js';
import { decodeEnvelope, encodeEnvelope } from '../wire/codec.js';
import { openSocket } from './open-socket.js';

const LENGTH_BYTES = 4;
const MAX_FRAME_BYTES = 16 * 1024 * 1024;
/** The size of a connection's send queue above which messages are dropped, because the peer does not read. */
const MAX_SEND_QUEUE_BYTES = 4 * 1024 * 1024;
const RECONNECT_DELAY_MILLISECONDS = 200;

/** The callbacks by which the transport reports messages and errors. */
export interface PeerTransportListener {
  /** Called for each message received. */
  onEnvelope(envelope: Envelope): void;
  /** Called after the transport closed the connection of a peer that sent a malformed frame. */
  onMalformed(detail: string): void;
}

interface OutgoingConnection {
  socket: Socket | null;
  retryAt: number;
}

/** Splits a byte stream into length-prefixed frames. */
export class FrameReader {
  #buffered: Buffer = Buffer.alloc(0);

  /** Adds bytes and returns the frames that are now complete, or null when a frame exceeds the size limit. */
  push(bytes: Buffer): Buffer[] | null {
    this.#buffered = this.#buffered.length === 0 ? bytes : Buffer.concat([this.#buffered, bytes]);
    const frames: Buffer[] = [];
    while (this.#buffered.length >= LENGTH_BYTES) {
      const length = this.#buffered.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        return null;
      }
      if (this.#buffered.length < LENGTH_BYTES + length) {
        break;
      }
      frames.push(this.#buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      this.#buffered = this.#buffered.subarray(LENGTH_BYTES + length);
    }
    return frames;
  }
}

/** The port at which one daemon accepts messages, and its connections to the other daemons. */
export class PeerTransport {
  readonly #counters: Counters;
  readonly #listener: PeerTransportListener;
  readonly #outgoing = new Map<string, OutgoingConnection>();
  readonly #incoming = new Set<Socket>();
  readonly #server: Server;

  constructor(counters: Counters, listener: PeerTransportListener) {
    this.#counters = counters;
    this.#listener = listener;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Listens on an address. Rejects when the address is in use. */
  listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Sends a message. Drops it when the peer is unreachable or its send queue is full. */
  send(address: string, envelope: Envelope): void {
    const socket = this.#getOrOpenSocket(address);
    if (socket === null || socket.writableLength > MAX_SEND_QUEUE_BYTES) {
      this.#counters.peer_messages_dropped += 1;
      return;
    }
    const bytes = encodeEnvelope(envelope);
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(bytes.length, 0);
    socket.cork();
    socket.write(length);
    socket.write(bytes);
    process.nextTick(() => socket.uncork());
    this.#counters.peer_messages_sent += 1;
    this.#counters.peer_bytes_sent += LENGTH_BYTES + bytes.length;
  }

  /** Closes the listening port and every connection. */
  close(): void {
    this.#server.close();
    for (const socket of this.#incoming) {
      socket.destroy();
    }
    for (const { socket } of this.#outgoing.values()) {
      socket?.destroy();
    }
  }

  #getOrOpenSocket(address: string): Socket | null {
    const known = this.#outgoing.get(address);
    if (known?.socket) {
      return known.socket;
    }
    if (known !== undefined && Date.now() < known.retryAt) {
      return null;
    }
    const socket = openSocket(splitAddress(address), true);
    const outgoing: OutgoingConnection = { socket, retryAt: 0 };
    this.#outgoing.set(address, outgoing);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      outgoing.socket = null;
      outgoing.retryAt = Date.now() + RECONNECT_DELAY_MILLISECONDS;
    });
    return socket;
  }

  #accept(socket: Socket): void {
    this.#incoming.add(socket);
    socket.setNoDelay(true);
    const reader = new FrameReader();
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.on('error', () => undefined);
    socket.on('close', () => this.#incoming.delete(socket));
    socket.on('data', (bytes: Buffer) => this.#read(socket, reader, peer, bytes));
  }

  #read(socket: Socket, reader: FrameReader, peer: string, bytes: Buffer): void {
    const frames = reader.push(bytes);
    if (frames === null) {
      this.#reject(socket, `${peer}: frame exceeds the limit of ${MAX_FRAME_BYTES} bytes`);
      return;
    }
    for (const frame of frames) {
      const envelope = decodeEnvelope(frame, peer);
      if (envelope.isErr()) {
        this.#reject(socket, envelope.error.message);
        return;
      }
      this.#counters.peer_messages_received += 1;
      this.#counters.peer_bytes_received += LENGTH_BYTES + frame.length;
      this.#listener.onEnvelope(envelope.value);
    }
  }

  #reject(socket: Socket, detail: string): void {
    this.#counters.malformed_frames += 1;
    socket.destroy();
    this.#listener.onMalformed(detail);
  }
}
