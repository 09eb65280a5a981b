/** Expected queueing at a server whose number of requests is only known approximately. */

/**
 * Returns the expected number of requests of one slot that a new request waits for. The requests of other daemons are taken as
 * Poisson-distributed, since they arrive independently of each other.
 *
 * @param slots number of requests that the server processes at once
 * @param own requests of this daemon at the server
 * @param others mean number of other daemons' requests at the server
 */
export function expectedQueuedRounds(slots: number, own: number, others: number): number {
  const freeForOthers = slots - 1 - own;
  return expectedExcess(others, freeForOthers) / slots;
}

/** Returns the mean of max(0, K - threshold), where K is Poisson-distributed with the given mean. */
function expectedExcess(mean: number, threshold: number): number {
  let excess = mean - threshold;
  let probability = Math.exp(-mean);
  for (let count = 0; count < threshold; count += 1) {
    excess += (threshold - count) * probability;
    probability *= mean / (count + 1);
  }
  return Math.max(0, excess);
}
