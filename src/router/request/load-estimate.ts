/** Expected queueing at a server whose number of requests is only known approximately. */

/** Up to this threshold the mean excess is a sum with one term for each count; beyond it, the normal distribution is as good. */
const MAX_SUMMED_THRESHOLD = 64;
/** Farther than this many standard deviations from the mean, the probability of one side of the normal distribution rounds to zero. */
const MAX_DISTANCE = 40;
/** Coefficients of Page's approximation of the normal distribution function, which is off by less than 0.0002. */
const PAGE_LINEAR = 1.5976;
const PAGE_CUBIC = 0.070565;

/**
 * Returns the expected number of requests of one slot that a new request waits for. The requests of other daemons are taken as
 * Poisson-distributed, since they arrive independently of each other. The cost doesn't depend on the arguments.
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
  if (threshold > MAX_SUMMED_THRESHOLD) {
    return normalExcess(mean, threshold);
  }
  let excess = mean - threshold;
  let probability = Math.exp(-mean);
  for (let count = 0; count < threshold; count += 1) {
    excess += (threshold - count) * probability;
    probability *= mean / (count + 1);
  }
  return Math.max(0, excess);
}

/** Returns the same for a normal distribution with the mean and the variance of the Poisson distribution. */
function normalExcess(mean: number, threshold: number): number {
  const deviation = Math.sqrt(mean);
  const distance = (threshold - mean) / deviation;
  if (distance <= -MAX_DISTANCE) {
    return mean - threshold;
  }
  if (!(distance < MAX_DISTANCE)) {
    return 0;
  }
  const density = Math.exp((-distance * distance) / 2) / Math.sqrt(2 * Math.PI);
  return Math.max(0, deviation * (density - distance * upperTail(distance)));
}

/** Returns the probability that a normal variable exceeds its mean by more than this many standard deviations. */
function upperTail(distance: number): number {
  return 1 / (1 + Math.exp(PAGE_LINEAR * distance + PAGE_CUBIC * distance ** 3));
}
