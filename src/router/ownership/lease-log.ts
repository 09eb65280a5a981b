/** Logs whether the leader renews leases in time: the first renewals of a leadership, and owners whose leases may have ended. */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership, UnitProgress } from './leadership-state.js';
import { LEASE_DURATION } from './ownership-timing.js';

const CHECK_INTERVAL: Milliseconds = 100;
/** Minimum time between two log lines of renewals that are late. */
const LATE_LOG_INTERVAL: Milliseconds = 1_000;

/** What has been logged of the renewals of a leadership. */
export interface LeaseLogState {
  nextCheckAt: Milliseconds;
  nextLateLogAt: Milliseconds;
  areFirstRenewalsLogged: boolean;
}

/** Returns the state for a leadership that starts now. */
export function createLeaseLogState(): LeaseLogState {
  return {
    nextCheckAt: Number.NEGATIVE_INFINITY,
    nextLateLogAt: Number.NEGATIVE_INFINITY,
    areFirstRenewalsLogged: false,
  };
}

/** Logs the first renewals once all of them are answered, and late renewals. */
export function tickLeaseLog(context: RouterContext, leadership: Leadership): void {
  const { leaseLog, unitProgress } = leadership;
  if (context.now < leaseLog.nextCheckAt) {
    return;
  }
  leaseLog.nextCheckAt = context.now + CHECK_INTERVAL;
  const held = [...unitProgress.values()].filter(({ phase }) => phase === 'held');
  if (!leaseLog.areFirstRenewalsLogged) {
    logFirstRenewals(context, leadership, held);
  }
  if (context.now >= leaseLog.nextLateLogAt) {
    logLateRenewals(context, leadership, held);
  }
}

function logFirstRenewals(
  context: RouterContext,
  { term, startedAt, leaseLog }: Leadership,
  held: readonly UnitProgress[],
): void {
  if (held.every(({ grantedAt }) => grantedAt !== null)) {
    leaseLog.areFirstRenewalsLogged = true;
    const lastAt = Math.max(startedAt, ...held.map(({ grantedAt }) => grantedAt ?? startedAt));
    context.log('leases_resumed', { term, units: held.length, took: Math.round(lastAt - startedAt) });
  }
}

function logLateRenewals(
  context: RouterContext,
  { term, startedAt, leaseLog, pendingCalls }: Leadership,
  held: readonly UnitProgress[],
): void {
  const ages = held.map(({ grantedAt }) => context.now - (grantedAt ?? startedAt));
  const late = ages.filter((age) => age > LEASE_DURATION);
  if (late.length > 0) {
    leaseLog.nextLateLogAt = context.now + LATE_LOG_INTERVAL;
    const oldest = Math.round(Math.max(...late));
    const calls = pendingCalls.size;
    context.log('renewals_late', { term, units: late.length, of: held.length, oldest, calls }, 'warn');
  }
}
