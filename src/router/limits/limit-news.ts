/**
 * Tells all daemons of the limits that servers name, along the tree: a server asks it of all together, those included that have had no answer of
 * it. Links carry changes, and now and then a word that a limit still holds.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { LimitNews, NewsSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import { logLimitChange, type LimitSource } from './limit-log.js';
import type { LimitChange, LimitStatement } from './server-limits.js';

/** An answer to this daemon changed what is known of a limit, or confirmed it. */
export function tellOfReading(context: RouterContext, server: ServerId, change: LimitChange | null): void {
  const { limitUpdates } = context.state;
  if (change !== null) {
    noteChange(context, change, 'answer', 0);
  } else if (limitUpdates.isStale(server, context.now)) {
    limitUpdates.add(server);
  }
  tellDue(context);
}

/** Another daemon told of limits. */
export function receiveLimitNews(context: RouterContext, { limits }: LimitNews, source: NewsSource): void {
  const { state, now } = context;
  for (const statement of limits) {
    const { server, age } = statement;
    const wasStale = state.limitUpdates.isStale(server, now);
    const isBehind = state.limits.isBehind(statement, now);
    const change = state.limits.hear(statement, now);
    if (change !== null) {
      noteChange(context, change, source, age);
    } else if (isBehind || wasStale) {
      state.limitUpdates.add(server);
    }
  }
  tellDue(context);
}

/** All limits in force, for a daemon that has just connected or a parent that was just found; null: there are none. */
export function describeLimits({ state, now }: RouterContext): LimitNews | null {
  const limits = state.limits.statement(now);
  return limits.length === 0 ? null : { kind: 'limitNews', limits };
}

/** Tells what is due, and forgets limits that no answer has confirmed for long. */
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
    // Its keys are too many for it, or may be more again.
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
