/**
 * Lets undici's client take a `100 Continue` that it has not asked for (RFC 9110, section 15.2). It takes other interim answers, but closes
 * the connection upon this one. The status is replaced by that of another interim answer before the client's parser reads it. Also bounds the
 * heads of answers before they are parsed.
 */
import type { Socket } from 'node:net';

/** Bytes of interim answers that one request may get. */
const MAX_INTERIM_BYTES = 64 * 1024;
/** A status line up to its status, in which each `#` is a digit. */
const STATUS_LINE = 'HTTP/#.# ###';
const STATUS_LENGTH = 3;
const STATUS_START = STATUS_LINE.length - STATUS_LENGTH;
const EMPTY_LINE = '\r\n\r\n';
const CONTINUE = '100';
const SWITCHING_PROTOCOLS = '101';
/** `102 Processing`, which has no meaning for the router. */
const LAST_DIGIT_OF_PROCESSING = 0x32;
const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const FIRST_DIGIT = 0x30;
const LAST_DIGIT = 0x39;

/** Lines that a head may have. The client keeps two buffers for each. */
const MAX_HEAD_LINES = 512;

/** What the next byte of a connection belongs to. */
type Position = 'status line' | 'interim head' | 'final head' | 'rest of the answer';

function matchesStatusLine(byte: number, index: number): boolean {
  return STATUS_LINE[index] === '#'
    ? byte >= FIRST_DIGIT && byte <= LAST_DIGIT
    : byte === STATUS_LINE.charCodeAt(index);
}

/** Follows the answers on one connection up to the status of each final one. */
export class InterimAnswers {
  #position: Position = 'rest of the answer';
  /** Matched characters of `STATUS_LINE` or of `EMPTY_LINE`. */
  #matched = 0;
  #status = '';
  #interimBytes = 0;
  /** Lines of the current head. */
  #headLines = 0;
  /** Bytes of the final head's current line so far. */
  #lineLength = 0;

  /** Records that a request is written. What comes next is its answer. */
  begin(): void {
    this.#expectStatusLine();
    this.#interimBytes = 0;
  }

  /** Replaces the statuses in a received chunk. Returns what there is too much of, or null. */
  replaceStatuses(chunk: Buffer): string | null {
    let index = 0;
    while (index < chunk.length && this.#position !== 'rest of the answer') {
      index = this.#take(chunk, index);
    }
    if (this.#interimBytes > MAX_INTERIM_BYTES) {
      return `more than ${MAX_INTERIM_BYTES} bytes of interim answers`;
    }
    return this.#headLines > MAX_HEAD_LINES
      ? `more than ${MAX_HEAD_LINES} lines in the head of an answer`
      : null;
  }

  /** Takes the byte at an index, or all up to the next line. Returns the index behind it. */
  #take(chunk: Buffer, index: number): number {
    if (this.#position === 'final head') {
      return this.#takeLine(chunk, index);
    }
    if (this.#position === 'status line') {
      this.#takeOfStatusLine(chunk, index);
    } else {
      this.#takeOfHead(chunk[index] as number);
    }
    return index + 1;
  }

  /** Counts a line of the final head. An empty one, with or without its carriage return, ends the head. */
  #takeLine(chunk: Buffer, index: number): number {
    const end = chunk.indexOf(LINE_FEED, index);
    if (end < 0) {
      this.#lineLength += chunk.length - index;
      return chunk.length;
    }
    const length = this.#lineLength + end - index;
    this.#lineLength = 0;
    this.#headLines += 1;
    if (length <= 1) {
      this.#position = 'rest of the answer';
    }
    return end + 1;
  }

  #takeOfStatusLine(chunk: Buffer, index: number): void {
    const byte = chunk[index] as number;
    if (this.#matched === 0 && (byte === CARRIAGE_RETURN || byte === LINE_FEED)) {
      // Parsers skip empty lines before a status line.
      this.#interimBytes += 1;
      return;
    }
    if (!matchesStatusLine(byte, this.#matched)) {
      this.#position = 'rest of the answer';
      return;
    }
    if (this.#matched >= STATUS_START) {
      this.#status += String.fromCharCode(byte);
    }
    this.#matched += 1;
    if (this.#matched === STATUS_LINE.length) {
      this.#endStatus(chunk, index);
    }
  }

  #endStatus(chunk: Buffer, index: number): void {
    if (!this.#status.startsWith('1') || this.#status === SWITCHING_PROTOCOLS) {
      this.#position = 'final head';
      // The rest of the status line is at least as long as its status.
      this.#lineLength = STATUS_LENGTH;
      return;
    }
    if (this.#status === CONTINUE) {
      chunk[index] = LAST_DIGIT_OF_PROCESSING;
    }
    this.#position = 'interim head';
    this.#matched = 0;
    this.#interimBytes += STATUS_LINE.length;
  }

  #takeOfHead(byte: number): void {
    this.#interimBytes += 1;
    this.#headLines += byte === LINE_FEED ? 1 : 0;
    if (byte === EMPTY_LINE.charCodeAt(this.#matched)) {
      this.#matched += 1;
    } else {
      this.#matched = byte === CARRIAGE_RETURN ? 1 : 0;
    }
    if (this.#matched === EMPTY_LINE.length) {
      this.#expectStatusLine();
    }
  }

  #expectStatusLine(): void {
    this.#position = 'status line';
    this.#matched = 0;
    this.#status = '';
    this.#headLines = 0;
  }
}

/**
 * Makes a client's socket take interim answers, and destroys it when a request gets too many. The client must write each request at once,
 * with its body, and only when the former one has been answered.
 */
export function takeInterimAnswers(socket: Socket): void {
  const answers = new InterimAnswers();
  const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
  socket.write = (...args: unknown[]): boolean => {
    answers.begin();
    return write(...args);
  };
  socket.read = (size?: number): Buffer | null => {
    const chunk = read(size);
    const excess = chunk === null ? null : answers.replaceStatuses(chunk);
    if (excess === null) {
      return chunk;
    }
    socket.destroy(new Error(excess));
    return null;
  };
}
