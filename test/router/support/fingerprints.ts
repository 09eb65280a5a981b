/** Fingerprints of requests that tests name. */
import { HEAD_CHARACTERS, type RequestFingerprint } from '../../../src/router/model/request-fingerprint.js';

/** The fingerprint of the request with a name. */
export function fingerprintOf(name: string): RequestFingerprint {
  const head = Buffer.from(name).toString('hex').padEnd(HEAD_CHARACTERS, '0').slice(-HEAD_CHARACTERS);
  return { head, value: head + '0'.repeat(HEAD_CHARACTERS) };
}
