/**
 * Propagates the rate limits that servers announce to all daemons, along the propagation tree. A limit applies to all daemons together,
 * including those that have had no response from the server. Only changes and occasional refreshes of unchanged limits are sent.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { LimitNews, NewsSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import { logLimitChange, type LimitSource } from './limit-log.js';
import type { LimitChange, LimitStatement } from './server-limits.js';

/** Propagates what a response to this daemon showed of a limit: a change, or a confirmation (`change` is null). */
export function tellOfReading(context: RouterContext, server: ServerId, change: LimitChange | null): void {
  const { limitUpdates } = context.state;
  if (change !== null) {
    noteChange(context, change, 'answer', 0);
  } else if (limitUpdates.isStale(server, context.now)) {
    limitUpdates.add(server);
  }
  tellDue(context);
}

/** Merges limits that another daemon sent, and forwards those that others lack. */
export function receiveLimitNews(context: RouterContext, { limits }: LimitNews, source: NewsSource): void {
  const { state, now } = context;
  for (const statement of limits) {
    const { server, age } = statement;
    const wasStale = state.limitUpdates.isStale(server, now);
    const isOutdated = state.limits.isBehind(statement, now);
    const change = state.limits.hear(statement, now);
    if (change !== null) {
      noteChange(context, change, source, age);
    } else if (isOutdated || wasStale) {
      state.limitUpdates.add(server);
    }
  }
  tellDue(context);
}

/** Returns all limits in force, for a child that has just connected or a new parent, or null if there are none. */
export function describeLimits({ state, now }: RouterContext): LimitNews | null {
  const limits = state.limits.statement(now);
  return limits.length === 0 ? null : { kind: 'limitNews', limits };
}

/** Sends due updates, and removes limits that no response has confirmed within their time to live. */
export function tickLimits(context: RouterContext): void {
  const { state, now } = context;
  for (const change of state.limits.expire(now)) {
    state.limitUpdates.forget(change.server);
    logLimitChange(context, change, 'unconfirmed', 0);
  }
  tellDue(context);
}

function noteChange(
  context: RouterContext,
  change: LimitChange,
  source: LimitSource,
  age: Milliseconds,
): void {
  logLimitChange(context, change, source, age);
  const { limitUpdates, leadership } = context.state;
  limitUpdates.add(change.server);
  if (leadership !== null) {
    // Plan at once: the server may own more keys than its limit allows, or may take more keys again.
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
  }
}

function tellDue(context: RouterContext): void {
  const { state, now } = context;
  const due = state.limitUpdates.due(now);
  const limits: LimitStatement[] = state.limits.statementOf(due, now);
  due.forEach((server) => state.limitUpdates.noteTold(server, now));
  if (limits.length > 0) {
    const message: LimitNews = { kind: 'limitNews', limits };
    context.emit({ kind: 'sendToChildren', link: null, message });
    context.emit({ kind: 'sendToParent', message });
  }
}
