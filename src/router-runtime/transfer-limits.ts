/** Memory for data in transfer between callers and servers, and what was aborted or refused to bound it. */
import { AnswerBuffers } from './answer-buffers.js';

const BYTES_PER_MEGABYTE = 1_000_000;
/**
 * Fractions of the process's memory for answers that callers have not read and for request bodies. The process itself takes about 55 MB. With
 * the smallest limit in use, 210 MB, both bounds together are 63 MB, or 126 MB while each byte has a copy, so that 29 MB are left.
 */
const ANSWER_MEMORY_FRACTION = 0.15;
const BODY_MEMORY_FRACTION = 0.15;

/** Why a transfer to or from a caller was ended early. */
export type AbortReason =
  /** The caller did not read its answers. */
  | 'caller_not_reading'
  /** A long answer waited for too long behind an earlier one on the same connection. */
  | 'answer_out_of_turn'
  /** The request was behind an answer that closes its connection. */
  | 'behind_closing_answer'
  /** An answer without a length broke off, so that its connection was reset: after an orderly close it would look complete. */
  | 'reset_without_length'
  /** The request was refused since there was no memory for it. */
  | 'no_memory';

const ABORT_REASONS: readonly AbortReason[] = [
  'caller_not_reading',
  'answer_out_of_turn',
  'behind_closing_answer',
  'reset_without_length',
  'no_memory',
];

/** What the metrics show of the data in transfer. */
export interface TransferStatistics {
  /** Bytes of answers that callers have not read. */
  readonly heldForCallers: number;
  /** Bytes of request bodies that are kept until their requests have ended. */
  readonly heldForServers: number;
  readonly aborts: ReadonlyMap<AbortReason, number>;
}

export class TransferLimits implements TransferStatistics {
  readonly answers: AnswerBuffers;
  readonly aborts = new Map<AbortReason, number>(ABORT_REASONS.map((reason) => [reason, 0]));
  readonly #maxBodyBytes: number;
  #heldForServers = 0;

  /** @param memoryMegabytes the memory limit of the process */
  constructor(memoryMegabytes: number) {
    const memoryBytes = memoryMegabytes * BYTES_PER_MEGABYTE;
    this.answers = new AnswerBuffers(memoryBytes * ANSWER_MEMORY_FRACTION);
    this.#maxBodyBytes = memoryBytes * BODY_MEMORY_FRACTION;
  }

  get heldForCallers(): number {
    return this.answers.held;
  }

  get heldForServers(): number {
    return this.#heldForServers;
  }

  /** Returns whether a request may be read whose body has this many bytes more than were held for it so far. */
  hasRoomForRequest(bytes: number): boolean {
    return !this.answers.isFull && this.#heldForServers + bytes <= this.#maxBodyBytes;
  }

  holdBody(bytes: number): void {
    this.#heldForServers += bytes;
  }

  releaseBody(bytes: number): void {
    this.#heldForServers -= bytes;
  }

  countAbort(reason: AbortReason): void {
    this.aborts.set(reason, (this.aborts.get(reason) ?? 0) + 1);
  }
}
