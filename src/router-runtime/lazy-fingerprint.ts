/** Fingerprints of callers' requests, computed with Node's SHA-256. */
import { createHash } from 'node:crypto';
import { FINGERPRINT_HEAD_LENGTH, type RequestFingerprint } from '../router/model/request-fingerprint.js';

/** The parts of a request that its fingerprint covers. */
export interface FingerprintParts {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  /**
   * The caller's credentials, or null if it sends none. The caller's address is left out: servers never see it, and with it the same
   * request arriving in several zones would have several fingerprints, so that the server crashes it causes would not be counted together.
   */
  readonly credentials: string | null;
  readonly body: Buffer | null;
}

function digest(bytes: string | Buffer): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, FINGERPRINT_HEAD_LENGTH);
}

/**
 * Computes each digest on first use, so that a body is hashed only if the head of its request is under suspicion.
 *
 * @example
 * new LazyFingerprint({ method: 'GET', host: 'h.example', target: '/a', credentials: null, body: null }).value;
 */
export class LazyFingerprint implements RequestFingerprint {
  readonly #parts: FingerprintParts;
  #headDigest: string | null = null;
  #bodyDigest: string | null = null;

  constructor(parts: FingerprintParts) {
    this.#parts = parts;
  }

  get head(): string {
    const { method, host, target, credentials, body } = this.#parts;
    this.#headDigest ??= digest(JSON.stringify([method, host, target, credentials, body?.length ?? 0]));
    return this.#headDigest;
  }

  get value(): string {
    this.#bodyDigest ??= digest(this.#parts.body ?? '');
    return this.head + this.#bodyDigest;
  }
}
