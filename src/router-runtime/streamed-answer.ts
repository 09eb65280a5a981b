/** Sends a long answer to a caller while it is read from a server, and keeps what the caller has not read yet. */
import type { RequestSlot } from './request-slot.js';
import { type Block, PieceBuffer } from './piece-buffer.js';

export class StreamedAnswer {
  readonly #slot: RequestSlot;
  readonly #onRoom: () => void;
  readonly #pieces = new PieceBuffer();
  #isSendScheduled = false;
  #needsDrain = false;
  #isComplete = false;
  #isAborted = false;

  /** @param onRoom called after `write` has returned false, when more may be written */
  constructor(slot: RequestSlot, onRoom: () => void) {
    this.#slot = slot;
    this.#onRoom = onRoom;
    slot.outgoing.on('drain', () => {
      this.#needsDrain = false;
      this.#send();
    });
  }

  /** Takes the first bytes. Returns false if the server's answer must not be read further for now. */
  begin(body: Buffer): boolean {
    return this.#hold(this.#pieces.appendOwned(body));
  }

  /** Takes a copy of the next bytes. Returns false as `begin` does. */
  write(piece: Buffer): boolean {
    return this.#isAborted || this.#hold(this.#pieces.append(piece));
  }

  #hold(memory: number): boolean {
    const { buffer } = this.#slot;
    buffer.hold(memory);
    this.#scheduleSend();
    if (buffer.hasRoom) {
      return true;
    }
    this.#slot.resumeAnswer = this.#onRoom;
    return false;
  }

  /** Ends the answer once all of it has been sent. */
  end(): void {
    this.#isComplete = true;
    this.#send();
  }

  /** Ends the caller's connection when it is this answer's turn, such that the answer does not look complete. */
  abort(): void {
    const { buffer, connection } = this.#slot;
    this.#isAborted = true;
    this.#slot.resumeAnswer = null;
    buffer.release(this.#pieces.memory);
    this.#pieces.takeAll();
    connection.breakOff(this.#slot);
  }

  /** Sends together what arrives within one callback of the HTTP client, in however many pieces. */
  #scheduleSend(): void {
    if (!this.#isSendScheduled) {
      this.#isSendScheduled = true;
      queueMicrotask(() => {
        this.#isSendScheduled = false;
        this.#send();
      });
    }
  }

  /** Passes on as much as the connection takes: the time at which each small part has been sent then shows the caller's progress. */
  #send(): void {
    while (!this.#needsDrain && !this.#isAborted) {
      const block = this.#pieces.shift();
      if (block === null) {
        break;
      }
      this.#write(block);
    }
    const { outgoing } = this.#slot;
    if (this.#isComplete && this.#pieces.length === 0 && !outgoing.writableEnded) {
      outgoing.end();
    }
  }

  #write({ bytes, memory }: Block): void {
    const { buffer, outgoing } = this.#slot;
    this.#needsDrain = !outgoing.write(bytes, () => buffer.release(memory));
  }
}
