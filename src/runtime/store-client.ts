/**
 * The HTTP client of the store's object API.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { ReadObjectEffect, WriteObjectEffect } from '../core/effects.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../core/events.js';
import { StoreError } from '../errors.js';
import { RecyclingPool } from '../http-client/index.js';

const CALL_TIMEOUT_MILLISECONDS = 3_000;
/**
 * The time that a watch asks the store to wait. The store never responds to a watch that it received during
 * an outage: a long wait then delayed updates by 11 s.
 */
const WATCH_WAIT_MILLISECONDS = 1_000;
/** Added to the wait of a watch to form its client-side timeout. */
const WATCH_TIMEOUT_MARGIN_MILLISECONDS = 600;
const MAX_CONNECTIONS = 4;

const objectSchema = z.object({ version: z.number(), value: z.string(), writeId: z.string() });
const writtenSchema = z.object({ version: z.number() });

/** Reads and writes objects. Calls never throw. */
export class StoreClient {
  readonly #pool: RecyclingPool;
  readonly #origin: string;
  readonly #abort = new AbortController();

  /** @param origin for example `http://127.0.0.1:7400` */
  constructor(origin: string) {
    this.#origin = origin;
    this.#pool = new RecyclingPool(origin, {
      connections: MAX_CONNECTIONS,
      connectTimeout: CALL_TIMEOUT_MILLISECONDS,
    });
  }

  /** Reads an object, or watches it for a newer version. */
  async read(effect: ReadObjectEffect): Promise<ObjectReadEvent> {
    const { name, afterVersion } = effect;
    const query = afterVersion === null ? '' : `?after=${afterVersion}&wait=${WATCH_WAIT_MILLISECONDS}`;
    const isWatch = afterVersion !== null;
    const timeout = isWatch
      ? WATCH_WAIT_MILLISECONDS + WATCH_TIMEOUT_MARGIN_MILLISECONDS
      : CALL_TIMEOUT_MILLISECONDS;
    const answer = await this.#call('GET', `${objectPath(name)}${query}`, null, timeout);
    const parsed =
      answer.isOk() && answer.value.status === 200 ? objectSchema.safeParse(answer.value.body) : null;
    return { kind: 'objectRead', name, result: parsed?.success ? parsed.data : null };
  }

  /** Writes an object by compare-and-swap. */
  async write(effect: WriteObjectEffect): Promise<ObjectWrittenEvent> {
    const { name, expectedVersion, writeId, value } = effect;
    const body = JSON.stringify({ expectedVersion, writeId, value });
    const answer = await this.#call('PUT', objectPath(name), body, CALL_TIMEOUT_MILLISECONDS);
    const event = { kind: 'objectWritten', name, writeId, version: 0 } as const;
    if (answer.isErr()) {
      return { ...event, result: 'unknown' };
    }
    const { status } = answer.value;
    const parsed = writtenSchema.safeParse(answer.value.body);
    if (status === 200 && parsed.success) {
      return { ...event, result: 'written', version: parsed.data.version };
    }
    if (status === 409) {
      return { ...event, result: 'conflict' };
    }
    // The store sends 503 and 429 before it writes anything; after any other response the write may have
    // taken effect.
    return { ...event, result: status === 503 || status === 429 ? 'refused' : 'unknown' };
  }

  /** Aborts every call in flight. */
  close(): void {
    this.#abort.abort();
    this.#pool.destroy();
  }

  async #call(
    method: 'GET' | 'PUT',
    path: string,
    body: string | null,
    timeout: number,
  ): Promise<Result<{ status: number; body: unknown }, StoreError>> {
    try {
      const headers = { 'content-type': 'application/json' };
      const request = { method, path, body, headers };
      const { answer, text } = await this.#pool.request(request, timeout, this.#abort.signal);
      return ok({ status: answer.statusCode, body: JSON.parse(text) });
    } catch (cause) {
      const detail = cause instanceof Error ? cause.message : String(cause);
      return err(new StoreError(`${method} ${path}`, this.#origin, detail));
    }
  }
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}
