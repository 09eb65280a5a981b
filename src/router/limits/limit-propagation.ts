/**
 * Propagates the rate limits that servers announce to all daemons, along the propagation tree. A limit applies to all daemons together,
 * including those that have had no response from the server. Only changes and occasional refreshes of unchanged limits are sent.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { LimitNews, UpdateSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import { logLimitChange, type LimitChangeSource } from './limit-log.js';
import type { LimitChange, LimitStatement } from './server-limits.js';

/** Propagates what a response to this daemon showed of a limit: a change, or a confirmation (`change` is null). */
export function propagateLimitReading(
  context: RouterContext,
  server: ServerId,
  change: LimitChange | null,
): void {
  const { limitUpdates } = context.state;
  if (change !== null) {
    applyLimitChange(context, change, 'answer', 0);
  } else if (limitUpdates.isStale(server, context.now)) {
    limitUpdates.markPending(server);
  }
  sendDueUpdates(context);
}

/** Merges limits that another daemon sent, and forwards those that others lack. */
export function receiveLimitUpdate(
  context: RouterContext,
  { limits }: LimitNews,
  source: UpdateSource,
): void {
  const { state, now } = context;
  for (const statement of limits) {
    const { server, age } = statement;
    const wasStale = state.limitUpdates.isStale(server, now);
    const isOutdated = state.limits.isOutdated(statement, now);
    const change = state.limits.mergeStatement(statement, now);
    if (change !== null) {
      applyLimitChange(context, change, source, age);
    } else if (isOutdated || wasStale) {
      state.limitUpdates.markPending(server);
    }
  }
  sendDueUpdates(context);
}

/** Returns all limits in force, for a child that has just connected or a new parent, or null if there are none. */
export function buildLimitSnapshot({ state, now }: RouterContext): LimitNews | null {
  const limits = state.limits.statement(now);
  return limits.length === 0 ? null : { kind: 'limitNews', limits };
}

/** Sends due updates, and removes limits that no response has confirmed within their time to live. */
export function tickLimitUpdates(context: RouterContext): void {
  const { state, now } = context;
  for (const change of state.limits.removeExpired(now)) {
    state.limitUpdates.remove(change.server);
    logLimitChange(context, change, 'unconfirmed', 0);
  }
  sendDueUpdates(context);
}

function applyLimitChange(
  context: RouterContext,
  change: LimitChange,
  source: LimitChangeSource,
  age: Milliseconds,
): void {
  logLimitChange(context, change, source, age);
  const { limitUpdates, leadership } = context.state;
  limitUpdates.markPending(change.server);
  if (leadership !== null) {
    // Plan at once: the server may own more keys than its limit allows, or may take more keys again.
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
  }
}

function sendDueUpdates(context: RouterContext): void {
  const { state, now } = context;
  const due = state.limitUpdates.dueServers(now);
  const limits: LimitStatement[] = state.limits.statementsFor(due, now);
  due.forEach((server) => state.limitUpdates.markSent(server, now));
  if (limits.length > 0) {
    const message: LimitNews = { kind: 'limitNews', limits };
    context.emit({ kind: 'sendToChildren', link: null, message });
    context.emit({ kind: 'sendToParent', message });
  }
}
