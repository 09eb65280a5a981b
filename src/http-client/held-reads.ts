/**
 * Lets the reads of a client's socket be held, in place of pausing the client itself: undici's client fails an assertion, which ends the
 * process, if its connection ends or is reset while it is paused.
 */
import type { Socket } from 'node:net';

export class HeldReads {
  readonly #socket: Socket;
  #isHeld = false;

  /** Takes over the reads of a socket, before a client reads from it. */
  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number): Buffer | null => (this.#isHeld && size !== 0 ? null : read(size));
  }

  /** Holds what arrives from now on. The bytes that the client has read already are still passed on. */
  hold(): void {
    this.#isHeld = true;
  }

  /** Passes on what has been held, once the current callback has returned: the client can't be called while it passes on data. */
  release(): void {
    if (this.#isHeld) {
      this.#isHeld = false;
      process.nextTick(() => this.#announce());
    }
  }

  #announce(): void {
    if (!this.#isHeld && !this.#socket.destroyed) {
      this.#socket.emit('readable');
    }
  }
}
