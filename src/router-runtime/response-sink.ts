/** Where a server's response goes: to a caller, or to the daemon that has sent the request here. */
import type { ResponseReader } from './response-reader.js';

/** The head of a long response. */
export type StreamedHead = Pick<ResponseReader, 'rawHeaders'> & { status: number };

/** Writes a server's response to the caller. */
export interface ResponseSink {
  /** Accounts for bytes that are buffered until the response is complete. */
  hold(bytes: number): void;
  release(bytes: number): void;
  sendComplete(status: number, rawHeaders: string[], body: Buffer): void;
  /** Sends the head and the first bytes of a long response. Returns false if the writer must wait for `onDrain`. */
  beginStream(head: StreamedHead, body: Buffer, onDrain: () => void): boolean;
  /** Sends the next bytes of a long response. Returns false if the writer must wait for `onDrain`. */
  more(chunk: Buffer): boolean;
  endStream(): void;
  /** Ends the caller's connection such that a long response does not look complete. */
  abortStream(): void;
}
