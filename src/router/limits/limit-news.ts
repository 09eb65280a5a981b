/**
 * Tells all daemons of the limits that servers name, along the tree: a server asks it of all together, those included that have had no answer of
 * it. Links carry changes, and now and then a word that a limit still holds.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { LimitNews, NewsSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import { logLimitChange, type LimitSource } from './limit-log.js';
import type { LimitChange, LimitStatement } from './server-limits.js';

/** Changes of one server's limit are told no more often: some name another one with each answer. */
const TELL_INTERVAL: Milliseconds = 100;
/** A limit that stays is told again after this long: daemons forget one that nobody confirms. */
const REFRESH_INTERVAL: Milliseconds = 15_000;

/** What has been told of limits, and what is still to be. */
export class LimitTelling {
  readonly #toldAt = new Map<ServerId, Milliseconds>();
  readonly #untold = new Set<ServerId>();

  /** A server's limit has changed, or others have an older word of it. */
  add(server: ServerId): void {
    this.#untold.add(server);
  }

  /** Others know what is known here. */
  noteTold(server: ServerId, now: Milliseconds): void {
    this.#toldAt.set(server, now);
    this.#untold.delete(server);
  }

  /** Whether others have heard nothing of a server for long. */
  isStale(server: ServerId, now: Milliseconds): boolean {
    return this.#sinceTold(server, now) > REFRESH_INTERVAL;
  }

  /** Servers of which others may be told now. */
  due(now: Milliseconds): ServerId[] {
    return [...this.#untold].filter((server) => this.#sinceTold(server, now) >= TELL_INTERVAL);
  }

  forget(server: ServerId): void {
    this.#toldAt.delete(server);
    this.#untold.delete(server);
  }

  #sinceTold(server: ServerId, now: Milliseconds): Milliseconds {
    return now - (this.#toldAt.get(server) ?? Number.NEGATIVE_INFINITY);
  }
}

/** An answer to this daemon changed what is known of a limit, or confirmed it. */
export function tellOfReading(context: RouterContext, server: ServerId, change: LimitChange | null): void {
  const { limitTelling } = context.state;
  if (change !== null) {
    noteChange(context, change, 'answer', 0);
  } else if (limitTelling.isStale(server, context.now)) {
    limitTelling.add(server);
  }
  tellDue(context);
}

/** Another daemon told of limits. */
export function receiveLimitNews(context: RouterContext, { limits }: LimitNews, source: NewsSource): void {
  const { state, now } = context;
  for (const statement of limits) {
    const { server, age } = statement;
    const wasStale = state.limitTelling.isStale(server, now);
    const isBehind = state.limits.isBehind(statement, now);
    const change = state.limits.hear(statement, now);
    if (change !== null) {
      noteChange(context, change, source, age);
    } else if (isBehind || wasStale) {
      state.limitTelling.add(server);
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
    state.limitTelling.forget(change.server);
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
  const { limitTelling, leadership } = context.state;
  limitTelling.add(change.server);
  if (leadership !== null) {
    // Its keys are too many for it, or may be more again.
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
  }
}

function tellDue(context: RouterContext): void {
  const { state, now } = context;
  const due = state.limitTelling.due(now);
  const limits: LimitStatement[] = state.limits.statementOf(due, now);
  due.forEach((server) => state.limitTelling.noteTold(server, now));
  if (limits.length > 0) {
    const message: LimitNews = { kind: 'limitNews', limits };
    context.emit({ kind: 'sendToChildren', link: null, message });
    context.emit({ kind: 'sendToParent', message });
  }
}
