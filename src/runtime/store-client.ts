/**
 * The platform's object API over HTTP.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { ReadObjectEffect, WriteObjectEffect } from '../core/effects.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../core/events.js';
import { StoreError } from '../errors.js';
import { RecyclingPool } from '../http-client/index.js';

const CALL_TIMEOUT_MILLISECONDS = 3_000;
/** A watch that the store got while it was away is never answered: after a long one, news came 11 s late. */
const WATCH_MILLISECONDS = 1_000;
/** A watch is answered this much later than asked at the latest. */
const WATCH_SLACK_MILLISECONDS = 600;
const CONNECTIONS = 4;

const objectSchema = z.object({ version: z.number(), value: z.string(), writeId: z.string() });
const writtenSchema = z.object({ version: z.number() });

/** Reads and writes objects; never throws. */
export class StoreClient {
  readonly #pool: RecyclingPool;
  readonly #origin: string;
  readonly #abort = new AbortController();

  /** @param origin for example `http://127.0.0.1:7400` */
  constructor(origin: string) {
    this.#origin = origin;
    this.#pool = new RecyclingPool(origin, {
      connections: CONNECTIONS,
      connectTimeout: CALL_TIMEOUT_MILLISECONDS,
    });
  }

  /** Reads an object, or waits for a newer version of it. */
  async read(effect: ReadObjectEffect): Promise<ObjectReadEvent> {
    const { name, afterVersion } = effect;
    const query = afterVersion === null ? '' : `?after=${afterVersion}&wait=${WATCH_MILLISECONDS}`;
    const isWatch = afterVersion !== null;
    const patience = isWatch ? WATCH_MILLISECONDS + WATCH_SLACK_MILLISECONDS : CALL_TIMEOUT_MILLISECONDS;
    const answer = await this.#call('GET', `${objectPath(name)}${query}`, null, patience);
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
    // 503 and 429 come before anything is written; any other answer leaves it open.
    return { ...event, result: status === 503 || status === 429 ? 'refused' : 'unknown' };
  }

  /** Ends every call under way. */
  close(): void {
    this.#abort.abort();
    this.#pool.destroy();
  }

  async #call(
    method: 'GET' | 'PUT',
    path: string,
    body: string | null,
    patience: number,
  ): Promise<Result<{ status: number; body: unknown }, StoreError>> {
    try {
      const headers = { 'content-type': 'application/json' };
      const request = { method, path, body, headers };
      const { answer, text } = await this.#pool.request(request, patience, this.#abort.signal);
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
