/**
 * An emulated platform store over HTTP.
 *
 * - `GET /objects/<name>[?after=<version>&wait=<ms>]`: returns the object; with `after`, waits for a newer
 *   version.
 * - `PUT /objects/<name>` with `{expectedVersion, writeId, value}`: compare-and-swap; 409 on a conflict.
 * - `PUT /emulator/fault` with `{fault}`: sets the active fault.
 */
import { serve } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import { setTimeout as sleep } from 'node:timers/promises';
import * as z from 'zod';
import { splitAddress } from '../settings/address.js';
import { StoreModel, STORE_FAULTS, type StoreFault } from './store-model.js';

const SLOW_FAULT_DELAY_MILLISECONDS = 2_000;
const MAX_WATCH_MILLISECONDS = 10_000;

const writeSchema = z.strictObject({
  expectedVersion: z.number().int().min(0),
  writeId: z.string(),
  value: z.string(),
});
const faultSchema = z.strictObject({ fault: z.enum(STORE_FAULTS as [StoreFault, ...StoreFault[]]) });

/** Options of an emulated store. */
export interface StoreProcessOptions {
  readonly address: string;
  /** Maximum number of reads that wait at once; further reads with a wait get 429. */
  readonly maxWaitingReaders: number;
  /** Initial objects by name. */
  readonly objects: Readonly<Record<string, string>>;
}

function waitForNewerVersion(model: StoreModel, name: string, after: number, wait: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(end, wait);
    const cancel = model.waitForNewer(name, after, end);
    function end(): void {
      clearTimeout(timer);
      cancel();
      resolve();
    }
  });
}

/** Starts the store. Resolves, once it is listening, with a function that stops it. */
export function startStoreProcess(options: StoreProcessOptions): Promise<() => void> {
  const model = new StoreModel();
  let fault: StoreFault = 'none';
  for (const [name, value] of Object.entries(options.objects)) {
    model.write(name, 0, 'start', value);
  }
  const app = new Hono();

  async function applyFault(context: Context): Promise<Response | null> {
    if (fault === 'down') {
      return context.json({ error: 'down' }, 503);
    }
    if (fault === 'slow') {
      await sleep(SLOW_FAULT_DELAY_MILLISECONDS);
    }
    return null;
  }

  app.get('/objects/:name', async (context) => {
    const errorResponse = await applyFault(context);
    if (errorResponse !== null) {
      return errorResponse;
    }
    const name = context.req.param('name');
    const after = context.req.query('after');
    const wait = Math.min(Number(context.req.query('wait') ?? 0), MAX_WATCH_MILLISECONDS);
    if (after !== undefined && model.read(name).version <= Number(after)) {
      if (model.watchCount >= options.maxWaitingReaders) {
        return context.json({ error: `more than ${options.maxWaitingReaders} readers` }, 429);
      }
      await waitForNewerVersion(model, name, Number(after), wait);
    }
    return (await applyFault(context)) ?? context.json(model.read(name));
  });

  app.put('/objects/:name', async (context) => {
    const errorResponse = await applyFault(context);
    if (errorResponse !== null) {
      return errorResponse;
    }
    const parsed = writeSchema.safeParse(await context.req.json());
    if (!parsed.success) {
      return context.json({ error: parsed.error.message }, 400);
    }
    const { expectedVersion, writeId, value } = parsed.data;
    const outcome = model.write(context.req.param('name'), expectedVersion, writeId, value);
    if (fault === 'lose-answers') {
      return context.json({ error: 'the answer is lost' }, 504);
    }
    return context.json(outcome, outcome.kind === 'written' ? 200 : 409);
  });

  app.put('/emulator/fault', async (context) => {
    const parsed = faultSchema.safeParse(await context.req.json());
    if (!parsed.success) {
      return context.json({ error: `fault must be one of ${STORE_FAULTS.join(', ')}` }, 400);
    }
    fault = parsed.data.fault;
    return context.json({ fault });
  });

  const { host, port } = splitAddress(options.address);
  return new Promise((resolve) => {
    const server = serve({ fetch: app.fetch, hostname: host, port }, () => {
      resolve(() => server.close());
    });
  });
}
