/** Fingerprints of requests that tests identify by a name. */
import {
  FINGERPRINT_HEAD_LENGTH,
  type RequestFingerprint,
} from '../../../src/router/model/request-fingerprint.js';

/** Returns the fingerprint of the request with the given name. */
export function fingerprintOf(name: string): RequestFingerprint {
  const head = Buffer.from(name)
    .toString('hex')
    .padEnd(FINGERPRINT_HEAD_LENGTH, '0')
    .slice(-FINGERPRINT_HEAD_LENGTH);
  return { head, value: head + '0'.repeat(FINGERPRINT_HEAD_LENGTH) };
}
