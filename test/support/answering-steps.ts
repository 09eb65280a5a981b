/** What the thread of a server that answers and the thread that asks have in common. */

/** Steps of the one exchange, which both threads see. */
export const RECEIVED = 1;
export const MAY_ANSWER = 2;
export const ANSWERED = 3;

export interface AnsweringThreadData {
  /** The step that the exchange has come to. */
  readonly step: Int32Array;
  /** What is written back. */
  readonly answer: Uint8Array;
  /** The answer is due as soon as a connection is there, without a request. */
  readonly greets: boolean;
}
