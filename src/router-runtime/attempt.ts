/**
 * One attempt to run a request on a server, directly or by way of another daemon: sends the request, reads the response, and classifies it
 * as a complete response to this request, a rejection, or a lost attempt, whose outcome is unknown. Short responses are buffered until they are complete.
 */
import type { AttemptResult } from '../router/events.js';
import { isRefusedByClient } from './client-errors.js';
import type { OutgoingRequest } from './outgoing-request.js';
import { PieceBuffer } from './piece-buffer.js';
import { containedHead, type ResponseReader } from './response-reader.js';
import type { ResponseSink } from './response-sink.js';
import type { ServerConnection } from './server-connections.js';
import type { SurplusHeadScanner } from './surplus-head-scanner.js';

/** Longer responses are streamed to the caller. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** An answer that the caller doesn't get is read up to this length, so that its connection can be kept. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const FIRST_FINAL_STATUS = 200;
/** Error codes that mean that the server has closed or reset the connection. */
const CONNECTION_CLOSED_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

/** Receives the result of an attempt. */
export interface AttemptListener {
  /** Returns whether the request may still be written, now that its connection is up. */
  isWriteAllowed(): boolean;
  /** Called once, with whether the connection may carry further requests. */
  onFinished(result: AttemptResult, reusable: boolean): void;
}

export class Attempt {
  readonly #request: OutgoingRequest;
  readonly #reader: ResponseReader;
  readonly #sink: ResponseSink;
  readonly #connection: ServerConnection;
  readonly #listener: AttemptListener;
  #isFinished = false;
  #isSent = false;
  #isWithheld = false;
  #abort: ((reason?: Error) => void) | undefined;
  #status = 0;
  /** The body as long as it is not streamed. */
  readonly #buffered = new PieceBuffer();
  /** Of the body that goes to the caller. */
  #bodyBytes = 0;
  #bodyPieces = 0;
  #discardedBytes = 0;
  #isStreaming = false;
  /** Null: the head has not come, or marks the end of the body. */
  #bodyScanner: SurplusHeadScanner | null = null;

  constructor(
    request: OutgoingRequest,
    reader: ResponseReader,
    connection: ServerConnection,
    sink: ResponseSink,
    listener: AttemptListener,
  ) {
    this.#request = request;
    this.#reader = reader;
    this.#connection = connection;
    this.#sink = sink;
    this.#listener = listener;
  }

  /** Whether the request has been at least partly written: the server may run it. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Sends the request. */
  start(): void {
    const { method, path, headers, body } = this.#request;
    this.#connection.dispatch(
      { method: method as 'GET', path, headers, body },
      {
        onConnect: (abort) => this.#onConnect(abort),
        onHeaders: (status, raw, _resume, text) => this.#onHeaders(status, raw, text),
        onData: (chunk) => {
          this.#onData(chunk);
          return true;
        },
        onComplete: (trailers) => this.#onComplete(trailers),
        onError: (error) => this.#onError(error),
      },
    );
  }

  /** Cancels the attempt and closes its connection. */
  cancel(): void {
    if (!this.#isFinished) {
      this.#finish();
      if (this.#isStreaming) {
        this.#sink.abortStream();
      }
      this.#abort?.(new Error('cancelled'));
      this.#listener.onFinished(this.#lostResult('cancelled', false), false);
    }
  }

  /** Cancels the attempt if it has not been sent. */
  withdraw(): void {
    if (!this.#isFinished && !this.#isSent) {
      this.#finish();
      this.#listener.onFinished({ kind: 'withdrawn', reason: 'no longer needed' }, false);
    }
  }

  #onConnect(abort: (reason?: Error) => void): void {
    this.#abort = abort;
    if (this.#isFinished) {
      abort(new Error('cancelled'));
      return;
    }
    if (this.#isSent) {
      // The HTTP client begins to write the request again on another connection: the first one may have delivered it.
      this.#fail('the connection was replaced after the request had been written');
      return;
    }
    if (!this.#listener.isWriteAllowed()) {
      this.#isWithheld = true;
      abort(new Error('withheld'));
      return;
    }
    // The request is written to the connection from here on: the server may run it.
    this.#isSent = true;
  }

  #onHeaders(status: number, raw: Buffer[], statusText: string): boolean {
    if (status < FIRST_FINAL_STATUS || this.#isFinished) {
      return true;
    }
    this.#connection.recordHead();
    this.#status = status;
    const headers = raw.map((part) => part.toString('latin1'));
    const failure =
      containedHead(statusText, headers) ??
      this.#reader.readHead(status, headers, this.#connection.isFirstRequest);
    if (failure !== null) {
      this.#fail(failure.reason, false, failure.foreignAttemptId);
      return true;
    }
    this.#bodyScanner = this.#reader.createBodyScanner((id) => this.#connection.hasCarried(id));
    return true;
  }

  #onData(chunk: Buffer): void {
    this.#connection.recordBody(chunk.length);
    if (this.#isFinished) {
      return;
    }
    if (!this.#reader.isForCaller()) {
      this.#discard(chunk);
      return;
    }
    const surplusId = this.#bodyScanner?.scan(chunk) ?? null;
    if (surplusId !== null) {
      this.#fail('a second answer within a body without a length', false, surplusId);
      return;
    }
    this.#bodyBytes += chunk.length;
    this.#bodyPieces += 1;
    if (this.#isStreaming) {
      this.#pauseUnless(this.#sink.more(chunk));
      return;
    }
    this.#sink.hold(this.#buffered.append(chunk));
    if (this.#buffered.length > MAX_BUFFERED_BYTES) {
      this.#beginStream();
    }
  }

  #beginStream(): void {
    this.#isStreaming = true;
    const { rawHeaders } = this.#reader;
    const head = { status: this.#status, rawHeaders };
    const resume = (): void => this.#connection.resumeReading();
    this.#pauseUnless(this.#sink.beginStream(head, this.#takeBuffered(), resume));
  }

  #pauseUnless(hasRoom: boolean): void {
    if (!hasRoom) {
      this.#connection.pauseReading();
    }
  }

  /** Discards the body of an answer that the caller doesn't get. One that goes on for long ends the attempt: its head has said all. */
  #discard(chunk: Buffer): void {
    this.#discardedBytes += chunk.length;
    if (this.#discardedBytes > MAX_DISCARDED_BYTES) {
      this.#finish();
      this.#abort?.(new Error('the body of an answer that is not passed on is too long'));
      this.#listener.onFinished(this.#reader.classify(), false);
    }
  }

  #onComplete(trailers: readonly (Buffer | string)[] | null): void {
    if (this.#isFinished) {
      return;
    }
    if (trailers !== null && trailers.length > 0) {
      this.#reader.readTrailers(trailers.map((part) => part.toString('latin1')));
    }
    const isDelimitedByClose = this.#bodyScanner !== null;
    if (isDelimitedByClose && this.#connection.failed) {
      this.#fail('the answer was reset', true);
      return;
    }
    if (this.#reader.isForCaller() && this.#bodyScanner?.endsWithinHead() === true) {
      this.#fail('a body without a length that ends within the head of a second answer');
      return;
    }
    this.#complete(!isDelimitedByClose);
  }

  #complete(reusable: boolean): void {
    const body = this.#takeBuffered();
    this.#finish();
    if (this.#isStreaming) {
      this.#sink.endStream();
      this.#listener.onFinished(this.#withEnd(this.#reader.streamedResult()), reusable);
      return;
    }
    const result = this.#withEnd(this.#reader.classify());
    if (result.kind === 'answered') {
      this.#sink.sendComplete(this.#status, this.#reader.rawHeaders, body);
    }
    this.#listener.onFinished(result, reusable);
  }

  /** Adds how a response ended whose end was not marked. */
  #withEnd(result: AttemptResult): AttemptResult {
    if (result.kind !== 'answered' || this.#bodyScanner === null) {
      return result;
    }
    const { earlierRequests } = this.#connection;
    return {
      ...result,
      unmarkedEnd: { bytes: this.#bodyBytes, pieces: this.#bodyPieces, earlierRequests },
    };
  }

  #onError(error: NodeJS.ErrnoException): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#status !== 0 && this.#reader.endsWithHead()) {
      // The HTTP client reports an error if the head states the length of a body that it does not have.
      this.#complete(false);
      return;
    }
    const code = error.code ?? '';
    this.#finish();
    if (this.#isWithheld) {
      this.#listener.onFinished({ kind: 'withheld' }, false);
      return;
    }
    if (!this.#isSent) {
      const reason = error.message;
      const notSent: AttemptResult = { kind: 'notSent', reason, refused: code === 'ECONNREFUSED' };
      this.#listener.onFinished(isRefusedByClient(error) ? { kind: 'unsendable', reason } : notSent, false);
      return;
    }
    if (this.#isStreaming) {
      this.#sink.abortStream();
    }
    this.#listener.onFinished(this.#resultOfError(error.message, code), false);
  }

  /** An answer that the caller doesn't get has said all in its head. */
  #resultOfError(reason: string, code: string): AttemptResult {
    const hasSaidAll = this.#status !== 0 && !this.#reader.isForCaller();
    return hasSaidAll ? this.#reader.classify() : this.#lostResult(reason, CONNECTION_CLOSED_CODES.has(code));
  }

  /** Returns the buffered bytes, which the attempt no longer holds. */
  #takeBuffered(): Buffer {
    this.#sink.release(this.#buffered.memory);
    return this.#buffered.takeAll();
  }

  #finish(): void {
    this.#isFinished = true;
    this.#connection.resumeReading();
    this.#takeBuffered();
  }

  #lostResult(reason: string, isClosedByServer: boolean, foreignAttemptId?: string | null): AttemptResult {
    const foreign = foreignAttemptId === undefined ? {} : { foreignAttemptId };
    return { kind: 'lost', reason, isResponseStarted: this.#isStreaming, isClosedByServer, ...foreign };
  }

  #fail(reason: string, connectionEnded = false, foreignAttemptId?: string | null): void {
    this.#finish();
    if (this.#isStreaming) {
      this.#sink.abortStream();
    }
    this.#abort?.(new Error(reason));
    this.#listener.onFinished(this.#lostResult(reason, connectionEnded, foreignAttemptId), false);
  }
}
