/** Decides whether demand has risen enough to be reported early. Pure. */
import type { Milliseconds } from '../model/identifiers.js';

/** Demand is reported early when it is this many times the reported one. */
const RISE_FACTOR = 1.5;
/** A single request is no rise: between rare requests, the demand that was last reported is often zero. */
const MIN_RISEN_REQUESTS = 2;
/**
 * A rise must exceed the expected number of requests by this many standard deviations. A daemon counts only a few requests in the time that
 * is examined, so a stricter rule would miss surges; an early report without a surge costs only its bytes.
 */
const RISE_DEVIATIONS = 1;
/** The leader counts enough requests for a strict rule. A surge that it saw by mistake would move capacity from other routes. */
const SURGE_DEVIATIONS = 4;

/** A rise of the demand of all daemons is sent down early from this factor and this number of slots on; less may be chance. */
const FLEET_RISE_FACTOR = 1.25;
const MIN_FLEET_RISE_SLOTS = 0.5;

/**
 * Returns whether a daemon's demand has risen.
 *
 * @param requests arrivals within the last `span`
 * @param reportedRate the rate that was last reported, in requests per millisecond
 */
export function hasDemandRisen(requests: number, span: Milliseconds, reportedRate: number): boolean {
  const expected = reportedRate * span;
  return (
    requests >= MIN_RISEN_REQUESTS &&
    requests >= expected * RISE_FACTOR &&
    requests >= expected + RISE_DEVIATIONS * Math.sqrt(expected)
  );
}

/**
 * Returns whether the requests that the leader counted within a short time show a surge, which its whole window would show late.
 *
 * @param expected the number of requests by the whole window
 */
export function isSurge(requests: number, expected: number): boolean {
  return requests >= expected * RISE_FACTOR && requests >= expected + SURGE_DEVIATIONS * Math.sqrt(expected);
}

/** Returns whether the demand of all daemons, in slots, has risen. */
export function hasFleetDemandRisen(slots: number, formerSlots: number): boolean {
  return slots >= formerSlots * FLEET_RISE_FACTOR && slots - formerSlots >= MIN_FLEET_RISE_SLOTS;
}
