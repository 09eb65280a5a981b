/** Log events about servers' rate limits: one for each change. */
import type { Milliseconds } from '../model/identifiers.js';
import type { UpdateSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { LimitChange } from './server-limits.js';

/** Source of a limit change: a server's response to this daemon, another daemon, or the expiry of an unconfirmed limit. */
export type LimitChangeSource = UpdateSource | 'answer' | 'unconfirmed';

/** Logs that a server's limit begins, changes or ends. */
export function logLimitChange(
  context: RouterContext,
  { server, former, rate }: LimitChange,
  source: LimitChangeSource,
  age: Milliseconds,
): void {
  const service = context.state.servers.get(server)?.server.service ?? null;
  const fields = { server, service, former, source, age: Math.round(age) };
  if (rate === null) {
    context.log('server_limit_ended', fields);
  } else {
    context.log('server_names_limit', { ...fields, limit: rate });
  }
}
