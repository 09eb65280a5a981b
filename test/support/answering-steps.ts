/** Data shared by the threads of an `AnsweringServer` and its test. */

/** Steps of the single exchange of request and response, stored in shared memory. */
export const RECEIVED = 1;
export const ANSWER_ALLOWED = 2;
export const ANSWERED = 3;

export interface AnsweringThreadData {
  /** Shared memory whose first cell holds the current step of the exchange. */
  readonly step: Int32Array;
  /** Bytes of the response. */
  readonly answer: Uint8Array;
  /** Whether the response is sent as soon as a connection is open, without a request. */
  readonly sendsOnConnect: boolean;
}
