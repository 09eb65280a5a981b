/** Reads a server's response to an attempt. */
import type { AnswerAttribution, AttemptResult, LoadReading } from '../router/events.js';
import type { LimitReading } from '../router/model/server-limit.js';
import type { ServerNotice } from '../router/model/server-notice.js';
import type { RequestProtocol } from '../router/ports.js';
import { headerValue } from './headers.js';
import {
  endsWithConnection,
  framingProblem,
  hasBody,
  type ResponseReader,
  type UnusableResponse,
} from './response-reader.js';
import { SurplusHeadScanner } from './surplus-head-scanner.js';

const MISDIRECTED = 421;
const FIRST_NON_SUCCESS_STATUS = 300;
/** Statuses that callers take for the promise that their request has not run and never will. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

/** Receives what responses say of their server, at once and however the attempt ends. */
export interface ServerStatements {
  onNotice(notice: ServerNotice): void;
  /**
   * Receives the limit in the headers of a response to this request: null if they name none and the response surely comes from
   * the server itself.
   */
  onLimitRead(reading: LimitReading): void;
}

/** What is needed of a request to read its response. */
export interface ReadRequest {
  readonly method: string;
  readonly attemptId: string;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
}

export class ServerResponseReader implements ResponseReader {
  rawHeaders: string[] = [];
  readonly #request: ReadRequest;
  readonly #protocol: RequestProtocol;
  readonly #statements: ServerStatements;
  #status = 0;
  #attribution: AnswerAttribution = 'id';
  /** The server states that it has not executed the request. */
  #isNotExecuted = false;

  constructor(request: ReadRequest, protocol: RequestProtocol, statements: ServerStatements) {
    this.#request = request;
    this.#protocol = protocol;
    this.#statements = statements;
  }

  readHead(status: number, rawHeaders: string[], isFirstOnConnection: boolean): UnusableResponse | null {
    this.#status = status;
    this.rawHeaders = rawHeaders;
    this.#isNotExecuted = headerValue(rawHeaders, this.#protocol.notExecuted) !== null;
    this.#reportNotice(rawHeaders);
    const echoedId = headerValue(rawHeaders, this.#protocol.attemptId);
    if (echoedId !== null && echoedId !== this.#request.attemptId) {
      return { reason: 'an answer to another request', foreignAttemptId: echoedId };
    }
    this.#attribution = echoedId === null ? 'new connection' : 'id';
    this.#reportLimit();
    // An answer without an id may be the surplus one of an earlier request on the connection.
    const needsEchoedId = status < FIRST_NON_SUCCESS_STATUS || !isFirstOnConnection;
    if (needsEchoedId && echoedId === null) {
      return { reason: 'an answer without the id of the request', foreignAttemptId: null };
    }
    return this.endsWithHead() ? null : framingProblem(rawHeaders);
  }

  isForCaller(): boolean {
    return !this.#isRejection() && this.#hasSeal() && !this.#promisesWithoutStatement();
  }

  readTrailers(rawTrailers: readonly string[]): void {
    this.#reportNotice(rawTrailers);
  }

  endsWithHead(): boolean {
    return !hasBody(this.#request.method, this.#status);
  }

  createBodyScanner(hasCarried: (attemptId: string) => boolean): SurplusHeadScanner | null {
    const isEndMarked = !endsWithConnection(this.#request.method, this.#status, (name) =>
      headerValue(this.rawHeaders, name),
    );
    if (isEndMarked) {
      return null;
    }
    const headerNames = this.rawHeaders.filter((_, index) => index % 2 === 0);
    return new SurplusHeadScanner({ idHeader: this.#protocol.attemptId, headerNames, hasCarried });
  }

  classify(): AttemptResult {
    const status = this.#status;
    if (this.#isRejection()) {
      const load = this.#readLoad();
      const misdirected = status === MISDIRECTED;
      return { kind: 'rejected', status, misdirected, load, attribution: this.#attribution };
    }
    if (!this.#hasSeal()) {
      const reason = `an answer ${status} without a seal`;
      return { kind: 'lost', reason, isResponseStarted: false, isClosedByServer: false };
    }
    if (this.#promisesWithoutStatement()) {
      return { kind: 'ambiguousAnswer', status, load: this.#readLoad() };
    }
    return this.streamedResult();
  }

  streamedResult(): AttemptResult {
    return { kind: 'answered', status: this.#status, load: this.#readLoad() };
  }

  #reportNotice(raw: readonly string[]): void {
    const notice = this.#protocol.readNotice(this.#status, raw);
    if (notice !== null) {
      this.#statements.onNotice(notice);
    }
  }

  /**
   * Reports the limit that the response names. A missing limit counts only if the response surely comes from the server itself, which
   * a 421 response does not show.
   */
  #reportLimit(): void {
    const limit = this.#protocol.readLimit(this.rawHeaders);
    const isFromServer = this.#hasSeal() || this.#isNotExecuted;
    if (limit !== null || (isFromServer && this.#status !== MISDIRECTED)) {
      this.#statements.onLimitRead(limit);
    }
  }

  #hasSeal(): boolean {
    return headerValue(this.rawHeaders, this.#protocol.serverProof) !== null;
  }

  #isRejection(): boolean {
    return this.#status === MISDIRECTED || this.#isNotExecuted;
  }

  #promisesWithoutStatement(): boolean {
    return !this.#request.repeatable && PROMISING_STATUSES.has(this.#status) && !this.#isNotExecuted;
  }

  #readLoad(): LoadReading {
    const value = headerValue(this.rawHeaders, this.#protocol.load);
    return value === null ? null : (this.#protocol.parseLoad(value) ?? { unreadable: value });
  }
}
