/** The log's lines on limits: one for each change. */
import type { Milliseconds } from '../model/identifiers.js';
import type { NewsSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { LimitChange } from './server-limits.js';

/** Who said it: an answer to this daemon, another daemon, or nobody for long. */
export type LimitSource = NewsSource | 'answer' | 'unconfirmed';

/** Says that a limit begins, changes or ends. */
export function logLimitChange(
  context: RouterContext,
  { server, former, rate }: LimitChange,
  source: LimitSource,
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
