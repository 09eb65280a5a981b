import { expect } from 'earl';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { RecyclingPool } from '../../src/http-client/index.js';
import { pause } from '../support/frontend-fixture.js';

const DUE_TIME = 20;
/** Shortly after the due time, as polls come first. */
const TIMEOUT = 30;
/** Times of the stop around the due time. */
const ATTEMPTS = 60;

let server: Server | undefined;

afterEach(() => server?.close());

describe('connections that are closed while a call is about to be overdue', () => {
  // The call replaced connections that had been destroyed, which is a rejected promise that nobody awaits: the daemon ended by itself.
  it('leave no rejected promise behind', async () => {
    const silent = createServer((socket) => void socket.on('error', () => undefined));
    server = silent;
    await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve));
    const rejections: unknown[] = [];
    const record = (reason: unknown): void => void rejections.push(reason);
    process.on('unhandledRejection', record);
    const { port } = silent.address() as AddressInfo;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const pool = new RecyclingPool(`http://127.0.0.1:${port}`, {});
      const due = { time: DUE_TIME, onOverdue: (): void => undefined };
      const call = pool.request({ method: 'GET', path: '/' }, TIMEOUT, undefined, due);
      const ended = call.catch(() => undefined);
      await pause(DUE_TIME / 2 + (attempt * DUE_TIME) / ATTEMPTS);
      pool.destroy();
      await ended;
      await pause(DUE_TIME / 2);
    }
    process.off('unhandledRejection', record);
    expect(rejections).toEqual([]);
  });
});
