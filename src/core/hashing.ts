/**
 * The hash function for keys, shards and placement (xxHash32, from the `xxhash-wasm` library).
 */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** Returns the 32-bit hash of a text. */
export function hash32(text: string, seed = 0): number {
  return h32(text, seed);
}

/**
 * Orders candidates for a subject by rendezvous hashing: every daemon with the same candidates computes the
 * same order, and removing a candidate changes the first choice only of the subjects that had it first.
 */
export function rendezvousOrder(subject: string, candidates: readonly string[]): string[] {
  const scored = candidates.map((candidate) => ({ candidate, score: hash32(`${subject}|${candidate}`) }));
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
  return scored.map((entry) => entry.candidate);
}
