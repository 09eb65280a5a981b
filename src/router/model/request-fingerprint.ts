/** What makes two requests the same one: all that a server sees of them, and equal for every try, at any daemon. */

/** Worked out when it is first asked for: most requests never need it. Digests tell nothing of what they are made of. */
export interface RequestFingerprint {
  /** A digest of method, host, target, credentials and the length of the body: a first look that never reads the body. */
  readonly head: string;
  /** The head, and a digest of the body. */
  readonly value: string;
}

/** The head of a fingerprint's value. */
export function headOf(value: string): string {
  return value.slice(0, HEAD_CHARACTERS);
}

/** Hexadecimal characters of a head, and of the digest of a body: 64 bits each. */
export const HEAD_CHARACTERS = 16;
