/** Fingerprints of requests that tests identify by a name. */
import { HEAD_CHARACTERS, type RequestFingerprint } from '../../../src/router/model/request-fingerprint.js';

/** Returns the fingerprint of the request with the given name. */
export function fingerprintOf(name: string): RequestFingerprint {
  const head = Buffer.from(name).toString('hex').padEnd(HEAD_CHARACTERS, '0').slice(-HEAD_CHARACTERS);
  return { head, value: head + '0'.repeat(HEAD_CHARACTERS) };
}
