/** Reads the response of a proxy to an attempt: a server's response that it passes on, or what it decided itself. */
import type { AttemptResult } from '../router/events.js';
import { type ProxyOutcome, takeOutcome } from './proxy-headers.js';
import { headerValue } from './headers.js';
import {
  endsWithConnection,
  framingProblem,
  hasBody,
  type ResponseReader,
  type UnusableResponse,
} from './response-reader.js';

export class ProxyResponseReader implements ResponseReader {
  rawHeaders: string[] = [];
  readonly #method: string;
  #status = 0;
  #outcome: ProxyOutcome | null = null;

  /** @param method the method of the request */
  constructor(method: string) {
    this.#method = method;
  }

  readHead(status: number, rawHeaders: string[]): UnusableResponse | null {
    this.#status = status;
    this.rawHeaders = rawHeaders;
    this.#outcome = takeOutcome(rawHeaders);
    if (this.#outcome === null) {
      return { reason: 'an answer of a proxy without an outcome' };
    }
    const isEndUnmarked = endsWithConnection(this.#method, status, (name) => headerValue(rawHeaders, name));
    return isEndUnmarked
      ? { reason: 'an answer of a proxy whose end is not marked' }
      : framingProblem(rawHeaders);
  }

  isForCaller(): boolean {
    return this.#outcome?.kind === 'answered';
  }

  readTrailers(): void {
    // The proxy has read what the trailers say of the server.
  }

  endsWithHead(): boolean {
    return !hasBody(this.#method, this.#status);
  }

  /** A proxy marks the end of every response. */
  createBodyScanner(): null {
    return null;
  }

  classify(): AttemptResult {
    switch (this.#outcome?.kind) {
      case 'refused': {
        const { reason, retryAfter, attempts, isPathLost, proofs } = this.#outcome;
        return { kind: 'refusedByProxy', reason, retryAfter, attempts, isPathLost, proofs };
      }
      case 'failed':
        return { kind: 'failedAtProxy', reason: this.#outcome.reason };
      default:
        return this.streamedResult();
    }
  }

  streamedResult(): AttemptResult {
    return { kind: 'answered', status: this.#status, load: null };
  }
}
