/**
 * A client of the admin API of a daemon.
 */
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { AdminError } from '../errors.js';
import type { Row } from './queries.js';

const TIMEOUT_MILLISECONDS = 6_000;

/** A response of the admin API: rows, the outcome of a command, or a problem body. */
export interface AdminResponse {
  readonly status: number;
  readonly body: { readonly rows: readonly Row[] } | { readonly accepted?: boolean; readonly detail: string };
}

/** Sends one statement. Returns an error when the daemon cannot be reached, times out or sends an invalid response. */
export async function sendStatement(
  address: string,
  statement: string,
  operator: string,
): Promise<Result<AdminResponse, AdminError>> {
  try {
    const response = await request(`http://${address}/statement`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ statement, operator }),
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    return ok({ status: response.statusCode, body: (await response.body.json()) as AdminResponse['body'] });
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new AdminError('send statement', address, detail));
  }
}
