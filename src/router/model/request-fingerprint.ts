/** Fingerprints that identify a request by everything a server sees of it. They are equal for every attempt at any daemon. */

/** The fingerprint of a request, computed on first use since most requests never need it. Digests don't reveal their input. */
export interface RequestFingerprint {
  /** A digest of method, host, target, credentials and body length: a cheap first comparison that never reads the body. */
  readonly head: string;
  /** The head, followed by a digest of the body. */
  readonly value: string;
}

/** Returns the head of a fingerprint's value. */
export function fingerprintHead(value: string): string {
  return value.slice(0, FINGERPRINT_HEAD_LENGTH);
}

/** Length of a head, and of a body's digest, in hexadecimal characters: 64 bits each. */
export const FINGERPRINT_HEAD_LENGTH = 16;
