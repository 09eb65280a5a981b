/** When a daemon may claim a free leadership: those that reach more servers, and faster machines, come first. */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { pathClaimDelay } from './path-handover.js';
import type { LeaderRecord } from './stored-objects.js';

/** Consecutive refused connections after which the process of the leader counts as ended. */
const REFUSAL_LIMIT = 3;
/**
 * A daemon that has just started most likely did so together with others, so one refused connection is enough
 * in this period.
 */
const STARTUP_PERIOD: Milliseconds = 2_000;
const REFUSAL_LIMIT_AT_STARTUP = 1;

/**
 * A machine with at least this processor power (in cores) can carry the leadership; weaker ones delay their
 * claim by up to MAX_CLAIM_DELAY.
 */
const SUFFICIENT_PROCESSOR_POWER = 0.5;
const MAX_CLAIM_DELAY: Milliseconds = 200;

/**
 * Returns how long this daemon delays its claim, so that more powerful machines can claim the leadership
 * first.
 */
export function claimDelayOf({ bounds }: RouterState): Milliseconds {
  return MAX_CLAIM_DELAY * Math.max(0, 1 - bounds.processorPower / SUFFICIENT_PROCESSOR_POWER);
}

/**
 * Returns the number of refused connections after which the process of the leader currently counts as ended.
 */
export function refusalLimit(context: RouterContext): number {
  const hasJustStarted = context.now - context.state.election.startedAt < STARTUP_PERIOD;
  return hasJustStarted ? REFUSAL_LIMIT_AT_STARTUP : REFUSAL_LIMIT;
}

/** Returns whether refused connections show that the process of the leader has ended. */
export function hasLeaderEnded(context: RouterContext): boolean {
  return context.state.election.leaderRefusals >= refusalLimit(context);
}

/**
 * Returns from when on this daemon may claim a free leadership. Daemons that reach more servers come first. After a resignation or the end
 * of the leader's process, slow machines wait until the others have read the leader record; otherwise they wait longer before the
 * leadership counts as free.
 */
export function claimDueAt(context: RouterContext, { resigned }: LeaderRecord): Milliseconds {
  const { state } = context;
  const isSlow = state.bounds.processorPower < SUFFICIENT_PROCESSOR_POWER;
  const powerDelay = isSlow && (resigned || hasLeaderEnded(context)) ? MAX_CLAIM_DELAY : 0;
  return state.election.leaderlessSince + Math.max(pathClaimDelay(context, resigned), powerDelay);
}

/** Returns whether this daemon may claim the free leadership of a record now. */
export function isClaimDue(context: RouterContext, record: LeaderRecord): boolean {
  return context.now >= claimDueAt(context, record);
}
