/** Messages between a soak and the thread on which its callers' connections are. Times are those of the soak's clock. */

/** A request that a caller sends. */
export interface CallerRequest {
  readonly attemptId: string;
  readonly host: string;
  readonly port: string;
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | null;
  /** Name of the pool of kept connections that the request uses; null: it uses a connection of its own. */
  readonly pool: string | null;
  readonly maxConnections: number;
  /** Local address of the connection; null: any. */
  readonly localAddress: string | null;
  readonly timeoutMilliseconds: number;
  /** When and how the caller disconnects; null: it waits for the response. */
  readonly disconnect: { readonly afterMilliseconds: number; readonly byReset: boolean } | null;
}

/**
 * How a request ended: with a whole answer, without a connection, by a reset (its daemon may not have read it), by a close after the request had been
 * read, within the answer, or unanswered.
 */
export type RequestEnding = 'answered' | 'refused' | 'reset' | 'closed' | 'cutShort' | 'unanswered';

/** How a request ended for its caller. */
export interface CallerResult {
  readonly kind: 'ended';
  readonly attemptId: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status; 0 when the connection ended without a response, `TIMED_OUT_STATUS` when the caller gave up. */
  readonly status: number;
  readonly body: string;
  readonly ending: RequestEnding;
}

/** A caller disconnected before its request ended. */
export interface CallerDisconnected {
  readonly kind: 'disconnected';
  readonly attemptId: string;
  readonly at: number;
}

export type CallerMessage = CallerResult | CallerDisconnected;

/** Status of a request whose caller gave up after its timeout. The router promises nothing for such requests. */
export const TIMED_OUT_STATUS = -1;
