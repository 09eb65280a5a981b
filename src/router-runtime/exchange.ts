/** A request at this daemon and the way back for its response. */
import type { IncomingMessage } from 'node:http';
import type { Key } from '../router/model/identifiers.js';
import type { RequestOrigin } from '../router/proxying/request-origin.js';
import type { Attempt } from './attempt.js';
import type { RequestSlot } from './request-slot.js';
import type { ResponseWriter } from './response-writers.js';

/** A request, from the time when it has been read until its response has ended. */
export interface Exchange {
  readonly incoming: IncomingMessage;
  readonly writer: ResponseWriter;
  /** The request's place on its connection. */
  readonly slot: RequestSlot;
  /** The daemon that sent the request here; null: its caller did. */
  readonly origin: RequestOrigin | null;
  readonly body: Buffer | null;
  readonly attemptId: string;
  readonly key: Key | null;
  /** The reducer has received the request's arrival. */
  isDispatched: boolean;
  attempt: Attempt | null;
  /** An attempt that has ended was sent. */
  wasSent: boolean;
  attemptNumber: number;
  /** The attempt is delayed until a recent poll has shown whether the caller has disconnected. */
  isAttemptWaiting: boolean;
}
