/** The place of a request and of its answer in the order of its caller's connection. */
import type { ServerResponse } from 'node:http';
import type { AnswerBuffer } from './answer-buffers.js';
import type { CallerConnection } from './caller-connection.js';

export class RequestSlot {
  readonly requestId: number;
  readonly outgoing: ServerResponse;
  readonly connection: CallerConnection;
  isAdmitted = false;
  /** The answer states no length: the end of the connection ends it, or would for a lenient client. */
  endsWithConnection = false;
  /** Bytes of the request's body that are held. */
  bodyBytes = 0;
  /** Continues to read the server's answer; null: it is not paused. */
  resumeAnswer: (() => void) | null = null;

  constructor(requestId: number, outgoing: ServerResponse, connection: CallerConnection) {
    this.requestId = requestId;
    this.outgoing = outgoing;
    this.connection = connection;
  }

  get buffer(): AnswerBuffer {
    return this.connection.buffer;
  }
}
