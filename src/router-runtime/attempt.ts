/**
 * One attempt at a server: sends the request, reads the answer, and decides what it is: a whole answer of
 * this request, a rejection, or something that tells nothing. Short answers are kept until they are whole.
 */
import type { AttemptResult, LoadReading } from '../router/events.js';
import type { LimitReading } from '../router/model/server-limit.js';
import type { ServerNotice } from '../router/model/server-notice.js';
import type { RequestProtocol } from '../router/ports.js';
import { headerValue } from './headers.js';
import type { ServerConnection } from './server-connections.js';

/** Longer answers are passed on as they come. */
const LARGEST_BUFFERED_BYTES = 256 * 1024;
const MISDIRECTED = 421;
const FIRST_FINAL_STATUS = 200;
const FIRST_FAILURE_STATUS = 300;
/** Codes of errors by which the other side's end of a connection shows. */
const ENDED_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** A request as it goes to a server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | null;
  readonly attemptId: string;
}

/** Where an answer goes. */
export interface AnswerSink {
  /** An answer that has ended in order. One without a length goes on without a length. */
  whole(status: number, rawHeaders: string[], body: Buffer, hasLength: boolean): void;
  /** The head of a long answer, and its beginning. Returns false when the caller takes no more for now. */
  begin(status: number, rawHeaders: string[], body: Buffer, onDrain: () => void): boolean;
  /** More of a long answer. */
  more(chunk: Buffer): boolean;
  end(): void;
  /** A long answer broke off: the caller must see that. */
  breakOff(): void;
}

/** Told how an attempt goes. */
export interface AttemptListener {
  /** The answer's head, or its trailers, say something of the server: told at once, however the attempt ends. */
  noticed(notice: ServerNotice): void;
  /** Of the head of each answer to this request that names a limit, or that is the server's own for certain and names none. */
  limitRead(reading: LimitReading): void;
  /** Called once. `reusable`: so is the connection. */
  finished(result: AttemptResult, reusable: boolean): void;
}

export class Attempt {
  readonly #request: OutgoingRequest;
  readonly #protocol: RequestProtocol;
  readonly #sink: AnswerSink;
  readonly #connection: ServerConnection;
  readonly #listener: AttemptListener;
  #finished = false;
  #sent = false;
  #abort: ((reason?: Error) => void) | undefined;
  #resume: () => void = () => undefined;
  #status = 0;
  #rawHeaders: string[] = [];
  #chunks: Buffer[] = [];
  #bytes = 0;
  #streaming = false;

  constructor(
    request: OutgoingRequest,
    protocol: RequestProtocol,
    connection: ServerConnection,
    sink: AnswerSink,
    listener: AttemptListener,
  ) {
    this.#request = request;
    this.#protocol = protocol;
    this.#connection = connection;
    this.#sink = sink;
    this.#listener = listener;
  }

  /** Sends the request. */
  start(): void {
    const { method, path, headers, body } = this.#request;
    this.#connection.dispatch(
      { method: method as 'GET', path, headers, body },
      {
        onConnect: (abort) => this.#onConnect(abort),
        onHeaders: (status, raw, resume) => this.#onHeaders(status, raw, resume),
        onData: (chunk) => this.#onData(chunk),
        onComplete: (trailers) => this.#onComplete(trailers),
        onError: (error) => this.#onError(error),
      },
    );
  }

  /** Gives the attempt up; its connection is closed. */
  cancel(): void {
    if (!this.#finished) {
      this.#finished = true;
      if (this.#streaming) {
        this.#sink.breakOff();
      }
      this.#abort?.(new Error('cancelled'));
      this.#listener.finished(this.#lost('cancelled', false), false);
    }
  }

  /** Gives the attempt up if it has not been sent. */
  withdraw(): void {
    if (!this.#finished && !this.#sent) {
      this.#finished = true;
      this.#listener.finished({ kind: 'notSent', reason: 'withdrawn', refused: false }, false);
    }
  }

  #onConnect(abort: (reason?: Error) => void): void {
    this.#abort = abort;
    if (this.#finished) {
      abort(new Error('cancelled'));
      return;
    }
    // From here on the request is written.
    this.#sent = true;
  }

  #onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < FIRST_FINAL_STATUS || this.#finished) {
      return true;
    }
    this.#status = status;
    this.#resume = resume;
    this.#rawHeaders = raw.map((part) => part.toString('latin1'));
    this.#readNotice(this.#rawHeaders);
    const echoed = headerValue(this.#rawHeaders, this.#protocol.attemptId);
    const isForeign = echoed !== null && echoed !== this.#request.attemptId;
    if (!isForeign) {
      this.#readLimit();
    }
    const needsEcho = status < FIRST_FAILURE_STATUS;
    if (isForeign || (needsEcho && echoed === null)) {
      this.#fail(isForeign ? 'an answer to another request' : 'an answer without the id of the request');
    }
    return true;
  }

  #onData(chunk: Buffer): boolean {
    if (this.#finished) {
      return true;
    }
    if (this.#streaming) {
      return this.#sink.more(chunk);
    }
    this.#chunks.push(Buffer.from(chunk));
    this.#bytes += chunk.length;
    if (this.#bytes <= LARGEST_BUFFERED_BYTES) {
      return true;
    }
    this.#streaming = true;
    const begun = Buffer.concat(this.#chunks.splice(0));
    return this.#sink.begin(this.#status, this.#rawHeaders, begun, () => this.#resume());
  }

  #onComplete(trailers: readonly (Buffer | string)[] | null): void {
    if (this.#finished) {
      return;
    }
    if (trailers !== null && trailers.length > 0) {
      this.#readNotice(trailers.map((part) => part.toString('latin1')));
    }
    const endsWithConnection = this.#endsWithConnection();
    if (endsWithConnection && this.#connection.failed) {
      this.#fail('the answer was reset', true);
      return;
    }
    this.#finished = true;
    const reusable = !endsWithConnection;
    if (this.#streaming) {
      this.#sink.end();
      this.#listener.finished(this.#answered(), reusable);
      return;
    }
    const result = this.#classify();
    if (result.kind === 'answered') {
      this.#sink.whole(this.#status, this.#rawHeaders, Buffer.concat(this.#chunks), reusable);
    }
    this.#listener.finished(result, reusable);
  }

  #readNotice(raw: readonly string[]): void {
    const notice = this.#protocol.readNotice(this.#status, raw);
    if (notice !== null) {
      this.#listener.noticed(notice);
    }
  }

  /** Only an answer that is the server's own for certain says by its silence that there is no limit. */
  #readLimit(): void {
    const limit = this.#protocol.readLimit(this.#rawHeaders);
    const isOwn = headerValue(this.#rawHeaders, this.#protocol.serverProof) !== null || this.#isNotRun();
    if (limit !== null || (isOwn && this.#status !== MISDIRECTED)) {
      this.#listener.limitRead(limit);
    }
  }

  #isNotRun(): boolean {
    return headerValue(this.#rawHeaders, this.#protocol.notExecuted) !== null;
  }

  #endsWithConnection(): boolean {
    return (
      this.#request.method !== 'HEAD' &&
      !BODILESS_STATUSES.has(this.#status) &&
      headerValue(this.#rawHeaders, 'content-length') === null &&
      headerValue(this.#rawHeaders, 'transfer-encoding') === null
    );
  }

  #answered(): AttemptResult {
    return { kind: 'answered', status: this.#status, load: this.#load() };
  }

  #load(): LoadReading {
    const value = headerValue(this.#rawHeaders, this.#protocol.load);
    return value === null ? null : (this.#protocol.parseLoad(value) ?? { unreadable: value });
  }

  #classify(): AttemptResult {
    const status = this.#status;
    const misdirected = status === MISDIRECTED;
    if (misdirected || this.#isNotRun()) {
      return { kind: 'rejected', status, misdirected, load: this.#load() };
    }
    if (headerValue(this.#rawHeaders, this.#protocol.serverProof) === null) {
      return this.#lost(`an answer ${status} without a seal`, false);
    }
    return this.#answered();
  }

  #onError(error: NodeJS.ErrnoException): void {
    if (this.#finished) {
      return;
    }
    const code = error.code ?? '';
    this.#finished = true;
    if (!this.#sent) {
      this.#listener.finished(
        { kind: 'notSent', reason: error.message, refused: code === 'ECONNREFUSED' },
        false,
      );
      return;
    }
    if (this.#streaming) {
      this.#sink.breakOff();
    }
    this.#listener.finished(this.#lost(error.message, ENDED_CODES.has(code)), false);
  }

  #lost(reason: string, connectionEnded: boolean): AttemptResult {
    return { kind: 'lost', reason, isResponseStarted: this.#streaming, isClosedByServer: connectionEnded };
  }

  #fail(reason: string, connectionEnded = false): void {
    this.#finished = true;
    if (this.#streaming) {
      this.#sink.breakOff();
    }
    this.#abort?.(new Error(reason));
    this.#listener.finished(this.#lost(reason, connectionEnded), false);
  }
}
