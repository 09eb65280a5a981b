/**
 * Accounts for answers that callers have not read yet. Answers are buffered up to a bound for each connection and one for all connections.
 * Beyond it, servers' answers are read at the pace of their callers, and a connection without progress is reported as stalled.
 */
const KIBIBYTE = 1024;
/** The most bytes of answers that are buffered for one connection while there is room in all. */
const MAX_CONNECTION_BYTES = 1024 * KIBIBYTE;
/** What a connection may always buffer, so that callers that read are served while others use up all the room. */
const MIN_CONNECTION_BYTES = 64 * KIBIBYTE;
const SWEEP_INTERVAL_MILLISECONDS = 250;
/**
 * A connection is stalled after 8 sweeps, 2 s, without progress: servers cut off answers that are left unread for some seconds. Sweeps are
 * counted instead of time, because callers may have read during a time in which this process did not run.
 */
const SWEEPS_UNTIL_STALLED = 8;

/** The unread answers of one connection. */
export interface AnswerBuffer {
  /** Returns whether more may be read from servers for this connection. */
  readonly hasRoom: boolean;
  hold(bytes: number): void;
  /** Frees the room of bytes that have been sent or discarded. */
  release(bytes: number): void;
  /** Frees all room, as the connection has closed. Later calls have no effect. */
  close(): void;
}

/** Receives changes of a connection's buffer. */
export interface AnswerBufferListener {
  /** Called when there is room and there may have been none before. */
  onRoom(): void;
  /** Called when the buffer was beyond its bound without progress for 2 s, and again after each further 2 s. */
  onStalled(): void;
}

class ConnectionBuffer implements AnswerBuffer {
  held = 0;
  /** Sweeps since the last progress during which the buffer was beyond its bound. */
  idleSweeps = 0;
  readonly listener: AnswerBufferListener;
  readonly #all: AnswerBuffers;
  #isClosed = false;

  constructor(all: AnswerBuffers, listener: AnswerBufferListener) {
    this.#all = all;
    this.listener = listener;
  }

  get hasRoom(): boolean {
    const bound = this.#all.isFull ? MIN_CONNECTION_BYTES : MAX_CONNECTION_BYTES;
    return this.held < bound;
  }

  hold(bytes: number): void {
    if (!this.#isClosed && bytes > 0) {
      this.held += bytes;
      this.#all.add(this, bytes);
    }
  }

  release(bytes: number): void {
    if (this.#isClosed || bytes === 0) {
      return;
    }
    this.held -= bytes;
    this.idleSweeps = 0;
    this.#all.remove(this, bytes);
    if (this.hasRoom) {
      this.listener.onRoom();
    }
  }

  close(): void {
    const { held } = this;
    this.#isClosed = true;
    this.held = 0;
    this.#all.remove(this, held);
  }
}

export class AnswerBuffers {
  readonly #limit: number;
  readonly #holders = new Set<ConnectionBuffer>();
  #held = 0;
  #sweepTimer: NodeJS.Timeout | null = null;

  /** @param limit the most bytes of answers that are buffered for all connections */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Number of bytes that are buffered. */
  get held(): number {
    return this.#held;
  }

  get isFull(): boolean {
    return this.#held >= this.#limit;
  }

  /** Creates the buffer of a connection. */
  create(listener: AnswerBufferListener): AnswerBuffer {
    return new ConnectionBuffer(this, listener);
  }

  /** Records bytes that a connection's buffer has taken. */
  add(buffer: ConnectionBuffer, bytes: number): void {
    this.#held += bytes;
    this.#holders.add(buffer);
    if (this.#sweepTimer === null && (this.isFull || !buffer.hasRoom)) {
      this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MILLISECONDS).unref();
    }
  }

  /** Records bytes that a connection's buffer has released. */
  remove(buffer: ConnectionBuffer, bytes: number): void {
    this.#held -= bytes;
    if (buffer.held === 0) {
      this.#holders.delete(buffer);
    }
  }

  #sweep(): void {
    let isAnyBeyondBound = this.isFull;
    for (const buffer of [...this.#holders]) {
      if (buffer.hasRoom) {
        // Room may have come from other connections.
        buffer.idleSweeps = 0;
        buffer.listener.onRoom();
        continue;
      }
      isAnyBeyondBound = true;
      buffer.idleSweeps += 1;
      if (buffer.idleSweeps > SWEEPS_UNTIL_STALLED) {
        buffer.idleSweeps = 0;
        buffer.listener.onStalled();
      }
    }
    if (!isAnyBeyondBound && this.#sweepTimer !== null) {
      clearInterval(this.#sweepTimer);
      this.#sweepTimer = null;
    }
  }
}
