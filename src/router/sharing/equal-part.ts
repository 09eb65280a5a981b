/**
 * A number that holds for all daemons together, in equal parts: each daemon needs to know only how many there are. Fits what every daemon needs
 * about as much of, and what is large beside the number of daemons.
 */

/** One daemon's part. */
export function equalPart(total: number, daemons: number): number {
  return total / daemons;
}
