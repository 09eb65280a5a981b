/** A 32-bit hash of short texts (FNV-1a), for an order that is the same at every daemon. It protects against nothing. */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** Returns a hash from 0 to 2^32 - 1. */
export function hashText(text: string): number {
  let hash = OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  // FNV mixes the last characters little, and ids often differ only there, so the result is mixed once more.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
