/**
 * Asks the admin API of a daemon.
 */
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { AdminError } from '../errors.js';
import type { Row } from './queries.js';

const TIMEOUT_MILLISECONDS = 6_000;

/** An answer of the admin API: rows, the fate of a command, or a problem. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: { readonly rows: readonly Row[] } | { readonly accepted?: boolean; readonly detail: string };
}

/** Sends one statement. The error says that the daemon could not be asked. */
export async function askAdmin(
  address: string,
  statement: string,
  operator: string,
): Promise<Result<AdminAnswer, AdminError>> {
  try {
    const answer = await request(`http://${address}/statement`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ statement, operator }),
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    return ok({ status: answer.statusCode, body: (await answer.body.json()) as AdminAnswer['body'] });
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new AdminError('ask', address, detail));
  }
}
