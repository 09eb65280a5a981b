/**
 * Mixed traffic for the demonstration: open-loop requests with ids, and what became of each.
 */
import { Pool } from 'undici';
import { OUTCOME_HEADER } from '../wire/headers.js';

const REQUESTS_PER_SECOND = 300;
const TICK_MILLISECONDS = 10;
const CALLER_TIMEOUT_MILLISECONDS = 8_000;
const CONNECTIONS = 64;

/** One request as its caller saw it. */
export interface CallerRecord {
  readonly id: string;
  readonly key: string;
  readonly repeatable: boolean;
  readonly startedAt: number;
  endedAt: number;
  outcome: 'answered' | 'not-run' | 'unknown' | 'broken';
}

/** Sends requests to daemons until it is stopped. */
export class Traffic {
  readonly records: CallerRecord[] = [];
  readonly #pools: Pool[];
  readonly #open = new Set<Promise<void>>();
  readonly #keys: readonly string[];
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;

  /** @param addresses where daemons serve callers */
  constructor(addresses: readonly string[], keys: readonly string[]) {
    this.#keys = keys;
    this.#pools = addresses.map((address) => new Pool(`http://${address}`, { connections: CONNECTIONS }));
  }

  /** Starts at a steady rate, whatever the answers do. */
  start(): void {
    const begin = performance.now();
    this.#timer = setInterval(() => {
      const due = ((performance.now() - begin) / 1_000) * REQUESTS_PER_SECOND;
      while (this.#sent < due) {
        this.#send();
      }
    }, TICK_MILLISECONDS);
  }

  /** Stops and waits for the last answers. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }

  /** How many ended with an outcome. */
  count(outcome: CallerRecord['outcome']): number {
    return this.records.filter((record) => record.outcome === outcome).length;
  }

  /** The longest time between two answers for one key, the steady pause between its requests included. */
  longestUnavailable(): { readonly key: string; readonly milliseconds: number } {
    let longest = { key: '-', milliseconds: 0 };
    for (const key of this.#keys) {
      const answered = this.records.filter((record) => record.key === key && record.outcome === 'answered');
      const ends = answered.map((record) => record.endedAt).sort((left, right) => left - right);
      for (let index = 1; index < ends.length; index += 1) {
        const milliseconds = Math.round((ends[index] ?? 0) - (ends[index - 1] ?? 0));
        longest = milliseconds > longest.milliseconds ? { key, milliseconds } : longest;
      }
    }
    return longest;
  }

  #send(): void {
    this.#sent += 1;
    const key = this.#keys[this.#sent % this.#keys.length] ?? '';
    const repeatable = this.#sent % 3 !== 0;
    const id = `r${this.#sent}`;
    const record: CallerRecord = {
      id,
      key,
      repeatable,
      startedAt: performance.now(),
      endedAt: 0,
      outcome: 'broken',
    };
    this.records.push(record);
    const call = this.#call(record).finally(() => {
      record.endedAt = performance.now();
      this.#open.delete(call);
    });
    this.#open.add(call);
  }

  async #call(record: CallerRecord): Promise<void> {
    const method = record.repeatable ? 'GET' : 'POST';
    const path = `/racks/${record.key}/${record.repeatable ? 'status' : 'flash'}`;
    for (let attempt = 0; attempt < this.#pools.length; attempt += 1) {
      const pool = this.#pools[(this.#sent + attempt) % this.#pools.length];
      const code = await this.#attempt(record, pool, method, path);
      // A refused connection took nothing: the next daemon can be asked without harm.
      if (code !== 'ECONNREFUSED') {
        return;
      }
    }
  }

  async #attempt(
    record: CallerRecord,
    pool: Pool | undefined,
    method: 'GET' | 'POST',
    path: string,
  ): Promise<string | null> {
    try {
      const answer = await pool?.request({
        method,
        path,
        headers: { 'x-request-id': record.id },
        body: record.repeatable ? null : 'firmware',
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS),
      });
      await answer?.body.dump();
      record.outcome = String(answer?.headers[OUTCOME_HEADER] ?? 'broken') as CallerRecord['outcome'];
      return null;
    } catch (cause) {
      record.outcome = 'broken';
      return String((cause as { code?: unknown }).code ?? 'failed');
    }
  }
}
