/**
 * Closes a caller's connection. The end of a connection also ends an answer without a length. If such an answer breaks off, only a reset
 * shows its caller that it is incomplete. But a reset discards what the caller has not read of earlier answers, and some clients, those on
 * libuv among them, report one that arrives together with data as an orderly end.
 */
import type { Socket } from 'node:net';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { Milliseconds } from '../router/model/identifiers.js';

/** Time that a caller gets to read earlier answers, and what the connection still holds, before a reset. */
const READING_TIME: Milliseconds = 1_000;
/** Time between the last bytes and a reset if the caller reads at once. */
const DELIVERY_TIME: Milliseconds = 300;

export interface ClosingListener {
  /** Whether an orderly close would make the answer that is being sent look complete. */
  wouldLookComplete(): boolean;
  onReset(): void;
}

export class ConnectionClosing {
  readonly #socket: Socket;
  readonly #listener: ClosingListener;
  #unreadAnswerSentAt = Number.NEGATIVE_INFINITY;
  #timer: NodeJS.Timeout | undefined;

  constructor(socket: Socket, listener: ClosingListener) {
    this.#socket = socket;
    this.#listener = listener;
    socket.on('close', () => clearTimeout(this.#timer));
  }

  /** Records that an answer was sent which the caller may not have read yet, as it had sent another request before. */
  recordUnreadAnswer(): void {
    this.#unreadAnswerSentAt = PROCESS_CLOCK.now();
  }

  /** Closes the connection. A reset waits until the caller has had time to read what was sent. */
  close(): void {
    if (this.#listener.wouldLookComplete()) {
      this.#timer ??= setTimeout(() => this.closeAtOnce(), this.#timeToRead());
    } else {
      this.closeAtOnce();
    }
  }

  #timeToRead(): Milliseconds {
    if (this.#socket.writableLength > 0) {
      return READING_TIME;
    }
    return Math.max(DELIVERY_TIME, this.#unreadAnswerSentAt + READING_TIME - PROCESS_CLOCK.now());
  }

  /** Closes the connection like `close`, without waiting. */
  closeAtOnce(): void {
    if (this.#socket.destroyed) {
      return;
    }
    if (this.#listener.wouldLookComplete()) {
      this.#listener.onReset();
      this.#socket.resetAndDestroy();
    } else {
      this.#socket.destroy();
    }
  }
}
