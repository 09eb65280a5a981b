/**
 * Collects the pieces of a message in blocks, so that its memory grows with its bytes and not with the number of its pieces: a buffer of one
 * byte costs over a hundred times as much.
 */

/** Pieces from this size on have a block of their own; the copy of smaller ones is cheaper than a block. */
const MIN_OWN_BLOCK_BYTES = 4 * 1024;
const MIN_SHARED_BLOCK_BYTES = 512;
const MAX_SHARED_BLOCK_BYTES = 16 * 1024;
/** Memory of a block beside its bytes: the objects of the buffer, the callback with which it is sent, and their places in lists. */
const BLOCK_OVERHEAD_BYTES = 512;

/** Bytes of a message and the memory that they have counted with. */
export interface Block {
  readonly bytes: Buffer;
  readonly memory: number;
}

export class PieceBuffer {
  readonly #blocks: Block[] = [];
  /** The last block, as long as it has room; its first `#sharedLength` bytes are used. */
  #shared: Buffer | null = null;
  #sharedLength = 0;
  #length = 0;
  #memory = 0;

  /** Number of bytes that are held. */
  get length(): number {
    return this.#length;
  }

  /** Number of bytes of memory that are in use for them. */
  get memory(): number {
    return this.#memory;
  }

  /** Adds a copy of a piece. Returns the bytes of memory that it has taken. */
  append(piece: Buffer): number {
    const memoryBefore = this.#memory;
    const copied = this.#fillShared(piece);
    const rest = piece.subarray(copied);
    if (rest.length >= MIN_OWN_BLOCK_BYTES) {
      this.#closeShared();
      this.#addBlock(Buffer.from(rest));
    } else if (rest.length > 0) {
      this.#closeShared();
      this.#openShared(rest);
    }
    this.#length += piece.length;
    return this.#memory - memoryBefore;
  }

  /** Adds a buffer that nobody else changes. Returns the bytes of memory that it has taken. */
  appendOwned(buffer: Buffer): number {
    const memoryBefore = this.#memory;
    this.#closeShared();
    this.#addBlock(buffer);
    this.#length += buffer.length;
    return this.#memory - memoryBefore;
  }

  /** Removes the first block, or returns null if nothing is held. */
  shift(): Block | null {
    if (this.#blocks.length === 0) {
      this.#closeShared();
    }
    const block = this.#blocks.shift() ?? null;
    if (block !== null) {
      this.#length -= block.bytes.length;
      this.#memory -= block.memory;
    }
    return block;
  }

  /** Removes all that is held, and returns it as one buffer. */
  takeAll(): Buffer {
    this.#closeShared();
    const blocks = this.#blocks.splice(0).map(({ bytes }) => bytes);
    this.#length = 0;
    this.#memory = 0;
    return blocks.length === 1 ? (blocks[0] as Buffer) : Buffer.concat(blocks);
  }

  /** Copies the beginning of a piece into the room of the last block. Returns the number of bytes copied. */
  #fillShared(piece: Buffer): number {
    if (this.#shared === null) {
      return 0;
    }
    const copied = piece.copy(this.#shared, this.#sharedLength);
    this.#sharedLength += copied;
    return copied;
  }

  /** Opens a block for a small piece. Later ones are larger, so that a message of one piece has no unused room. */
  #openShared(piece: Buffer): void {
    const room =
      this.#length === 0
        ? piece.length
        : Math.min(Math.max(this.#length, MIN_SHARED_BLOCK_BYTES), MAX_SHARED_BLOCK_BYTES);
    this.#shared = Buffer.allocUnsafe(Math.max(room, piece.length));
    this.#sharedLength = piece.copy(this.#shared);
    this.#memory += this.#shared.length + BLOCK_OVERHEAD_BYTES;
  }

  #closeShared(): void {
    if (this.#shared !== null) {
      const memory = this.#shared.length + BLOCK_OVERHEAD_BYTES;
      this.#blocks.push({ bytes: this.#shared.subarray(0, this.#sharedLength), memory });
      this.#shared = null;
    }
  }

  #addBlock(bytes: Buffer): void {
    const memory = bytes.length + BLOCK_OVERHEAD_BYTES;
    this.#blocks.push({ bytes, memory });
    this.#memory += memory;
  }
}
