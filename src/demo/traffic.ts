/**
 * Mixed traffic for the demonstration: sends open-loop requests with ids and records the outcome of each.
 */
import { Pool } from 'undici';
import { OUTCOME_HEADER } from '../wire/headers.js';

const REQUESTS_PER_SECOND = 300;
const TICK_MILLISECONDS = 10;
const CALLER_TIMEOUT_MILLISECONDS = 8_000;
const CONNECTIONS_PER_DAEMON = 64;

/** One request and its outcome, as seen by the caller. */
export interface CallerRecord {
  readonly id: string;
  readonly key: string;
  readonly repeatable: boolean;
  readonly startedAt: number;
  endedAt: number;
  outcome: 'answered' | 'not-run' | 'unknown' | 'broken';
}

/** Sends requests to daemons until stopped. */
export class Traffic {
  readonly records: CallerRecord[] = [];
  readonly #pools: Pool[];
  readonly #open = new Set<Promise<void>>();
  readonly #keys: readonly string[];
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;

  /** @param addresses the addresses at which daemons serve callers */
  constructor(addresses: readonly string[], keys: readonly string[]) {
    this.#keys = keys;
    this.#pools = addresses.map(
      (address) => new Pool(`http://${address}`, { connections: CONNECTIONS_PER_DAEMON }),
    );
  }

  /** Starts to send requests at a constant rate, independent of the responses (open loop). */
  start(): void {
    const begin = performance.now();
    this.#timer = setInterval(() => {
      const due = ((performance.now() - begin) / 1_000) * REQUESTS_PER_SECOND;
      while (this.#sent < due) {
        this.#send();
      }
    }, TICK_MILLISECONDS);
  }

  /** Stops sending and waits for the open requests to end. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }

  /** Returns the number of requests that ended with an outcome. */
  count(outcome: CallerRecord['outcome']): number {
    return this.records.filter((record) => record.outcome === outcome).length;
  }

  /**
   * Returns the longest time between two consecutive responses for one key. The time includes the constant
   * interval between the key's requests.
   */
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
      const errorCode = await this.#attempt(record, pool, method, path);
      // A refused connection proves that the daemon received nothing, so a retry at the next daemon is safe.
      if (errorCode !== 'ECONNREFUSED') {
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
      const response = await pool?.request({
        method,
        path,
        headers: { 'x-request-id': record.id },
        body: record.repeatable ? null : 'firmware',
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS),
      });
      await response?.body.dump();
      record.outcome = String(response?.headers[OUTCOME_HEADER] ?? 'broken') as CallerRecord['outcome'];
      return null;
    } catch (cause) {
      record.outcome = 'broken';
      return String((cause as { code?: unknown }).code ?? 'failed');
    }
  }
}
