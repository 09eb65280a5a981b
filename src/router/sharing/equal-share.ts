/**
 * Divides a total for all daemons into equal shares. Needs no coordination: a daemon must know only the number of daemons. Suits totals that are
 * large compared with that number, and resources that all daemons need about equally.
 */

/** Returns one daemon's share. */
export function equalShare(total: number, daemons: number): number {
  return total / daemons;
}
