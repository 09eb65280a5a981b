/**
 * Bounds what a server may send beside the body of an answer: heads, interim answers, chunk sizes and extensions, trailers. Parsing them takes
 * as much time as they last, and memory for each line, while they bring nothing to the caller.
 */
import type { Socket } from 'node:net';

/** Bytes beside the body that any answer may have. Beyond it, they must not outnumber those of the body. */
const MAX_OVERHEAD_BYTES = 64 * 1024;
/** Bytes behind the head that may follow each other without any of the body, such as those of trailers. */
const MAX_BODILESS_BYTES = 16 * 1024;
/** Bytes that are parsed at a time as long as they have brought no body, little of it, or much. */
const MIN_READ_BYTES = 4 * 1024;
const MEDIUM_READ_BYTES = 16 * 1024;
const MUCH_BODY_BYTES = 256 * 1024;

export class OverheadLimit {
  readonly #socket: Socket;
  /** Bytes of the current answer that were parsed, and those of them that were body. */
  #bytes = 0;
  #bodyBytes = 0;
  /** Bytes that were read since the head or the last bytes of the body. */
  #bodilessBytes = 0;
  #isHeadComplete = false;

  /** Takes over the reads of a socket, before a client reads from it. */
  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number): Buffer | null => this.#read(read, size);
  }

  /** Records that the next answer is due. */
  begin(): void {
    this.#bytes = 0;
    this.#bodyBytes = 0;
    this.#bodilessBytes = 0;
    this.#isHeadComplete = false;
  }

  /** Records that the head of the current answer, interim ones aside, has been parsed. */
  recordHead(): void {
    this.#isHeadComplete = true;
    this.#bodilessBytes = 0;
  }

  /** Records bytes of an answer's body, as they are parsed. */
  recordBody(bytes: number): void {
    this.#bodyBytes += bytes;
    this.#bodilessBytes = 0;
  }

  #read(read: (size?: number) => Buffer | null, size?: number): Buffer | null {
    const excess = this.#bytes > MAX_BODILESS_BYTES ? this.#excess() : null;
    if (excess !== null) {
      this.#socket.destroy(new Error(excess));
      return null;
    }
    const isLarge = size === undefined && this.#socket.readableLength > this.#maxReadBytes();
    const chunk = read(isLarge ? this.#maxReadBytes() : size);
    const length = chunk?.length ?? 0;
    this.#bytes += length;
    this.#bodilessBytes += length;
    return chunk;
  }

  /** Returns what there is too much of, or null. */
  #excess(): string | null {
    if (this.#bytes - this.#bodyBytes > MAX_OVERHEAD_BYTES + this.#bodyBytes) {
      return `more than ${MAX_OVERHEAD_BYTES} bytes beside the body of an answer`;
    }
    const isTooLong = this.#isHeadComplete && this.#bodilessBytes > MAX_BODILESS_BYTES;
    return isTooLong ? `${MAX_BODILESS_BYTES} bytes of an answer without any of its body` : null;
  }

  #maxReadBytes(): number {
    if (this.#bodilessBytes > 0 || this.#bodyBytes === 0) {
      return MIN_READ_BYTES;
    }
    return this.#bodyBytes < MUCH_BODY_BYTES ? MEDIUM_READ_BYTES : Number.POSITIVE_INFINITY;
  }
}
