/** Fingerprints of callers' requests, by Node's own SHA-256. */
import { createHash } from 'node:crypto';
import { FINGERPRINT_HEAD_LENGTH, type RequestFingerprint } from '../router/model/request-fingerprint.js';

/** What a fingerprint is made of. */
export interface FingerprintParts {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  /**
   * The caller's credentials, or null where it sends none. Its address is no part: servers never see it, and with it the ends under one
   * request that came from several zones did not add up.
   */
  readonly credentials: string | null;
  readonly body: Buffer | null;
}

function digest(bytes: string | Buffer): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, FINGERPRINT_HEAD_LENGTH);
}

/**
 * Digests on first use: only requests whose head is suspected pay for their bodies.
 *
 * @example
 * new LazyFingerprint({ method: 'GET', host: 'h.example', target: '/a', credentials: null, body: null }).value;
 */
export class LazyFingerprint implements RequestFingerprint {
  readonly #parts: FingerprintParts;
  #head: string | null = null;
  #body: string | null = null;

  constructor(parts: FingerprintParts) {
    this.#parts = parts;
  }

  get head(): string {
    const { method, host, target, credentials, body } = this.#parts;
    this.#head ??= digest(JSON.stringify([method, host, target, credentials, body?.length ?? 0]));
    return this.#head;
  }

  get value(): string {
    this.#body ??= digest(this.#parts.body ?? '');
    return this.head + this.#body;
  }
}
