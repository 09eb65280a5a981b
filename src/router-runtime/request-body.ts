/** Reads the bodies of requests, within the limits on one body and on the memory for all of them. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../router/model/identifiers.js';
import { NO_ATTEMPT } from '../router/request/request-execution.js';
import { PieceBuffer } from './piece-buffer.js';
import type { RequestSlot } from './request-slot.js';
import type { OwnAnswer } from './response-writers.js';
import type { TransferLimits } from './transfer-limits.js';

const BAD_REQUEST = 400;
const TOO_LARGE = 413;
const UNAVAILABLE = 503;
/** Memory becomes free as requests end, most within their objectives, and within 2 s from callers that do not read. */
const MEMORY_RETRY_AFTER: Milliseconds = 1_000;

/** Answers that have run nothing and say nothing of the path to servers. */
export const NOT_RUN = { retryAfter: null, execution: NO_ATTEMPT, attempts: 0, isPathLost: false } as const;
const BODY_TOO_LONG: OwnAnswer = { ...NOT_RUN, status: TOO_LARGE, reason: 'the body is too long' };
/** Bytes beside a body (sizes and extensions of its chunks) that any request may have. Beyond it, they must not outnumber those of the body. */
const MAX_FRAMING_BYTES = 32 * 1024;
const FRAMING_TOO_LONG: OwnAnswer = {
  ...NOT_RUN,
  status: BAD_REQUEST,
  reason: `the chunks of the body are too small: more than ${MAX_FRAMING_BYTES} bytes beside it`,
};
const NO_MEMORY: OwnAnswer = {
  ...NOT_RUN,
  status: UNAVAILABLE,
  reason: 'there is no memory for the request',
  retryAfter: MEMORY_RETRY_AFTER,
};

/** Receives a body, or why it is not read. */
export interface BodyListener {
  onComplete(body: Buffer | null): void;
  /** Sends an answer instead; the rest of the body is discarded. */
  onRefused(answer: OwnAnswer): void;
}

export class RequestBody {
  readonly #slot: RequestSlot;
  readonly #limits: TransferLimits;
  readonly #maxBytes: () => number;
  readonly #listener: BodyListener;
  readonly #pieces = new PieceBuffer();
  /** Also those that have been discarded. */
  #bytes = 0;
  #isRefused = false;
  readonly #socket: Socket;
  /** Bytes that the connection had carried when the head was parsed. */
  readonly #bytesBefore: number;

  constructor(
    incoming: IncomingMessage,
    slot: RequestSlot,
    limits: TransferLimits,
    maxBytes: () => number,
    listener: BodyListener,
  ) {
    this.#slot = slot;
    this.#limits = limits;
    this.#maxBytes = maxBytes;
    this.#listener = listener;
    this.#socket = incoming.socket;
    this.#bytesBefore = incoming.socket.bytesRead;
    const statedBytes = Number(incoming.headers['content-length'] ?? 0);
    if (statedBytes <= maxBytes() && !limits.hasRoomForRequest(statedBytes)) {
      this.#refuseForMemory();
    }
    incoming.on('data', (chunk: Buffer) => this.#take(chunk));
    incoming.on('error', () => undefined);
    incoming.on('end', () => this.#complete());
  }

  #take(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#isRefused) {
      return;
    }
    if (this.#bytes > this.#maxBytes()) {
      this.#slot.outgoing.shouldKeepAlive = false;
      this.#refuse(BODY_TOO_LONG);
    } else if (this.#isFramingTooLong()) {
      this.#slot.outgoing.shouldKeepAlive = false;
      this.#refuse(FRAMING_TOO_LONG);
      this.#slot.connection.stopReading();
    } else if (this.#limits.hasRoomForRequest(chunk.length)) {
      this.#slot.connection.holdBody(this.#slot, this.#pieces.append(chunk));
    } else {
      this.#refuseForMemory();
    }
  }

  /** Returns whether what has come beside the body has outgrown it. Bytes that came together with the head don't count. */
  #isFramingTooLong(): boolean {
    const framingBytes = this.#socket.bytesRead - this.#bytesBefore - this.#bytes;
    return framingBytes > MAX_FRAMING_BYTES + this.#bytes;
  }

  #refuseForMemory(): void {
    this.#limits.countAbort('no_memory');
    this.#refuse(NO_MEMORY);
  }

  #refuse(answer: OwnAnswer): void {
    this.#isRefused = true;
    this.#pieces.takeAll();
    this.#slot.connection.releaseBody(this.#slot);
    this.#listener.onRefused(answer);
  }

  #complete(): void {
    if (!this.#isRefused) {
      this.#listener.onComplete(this.#bytes === 0 ? null : this.#pieces.takeAll());
    }
  }
}
