/**
 * Connections that are reset when they are destroyed. If a socket is merely closed, the kernel goes on sending the data that was
 * written to it: a call that timed out during a network partition would arrive when the partition heals, seconds after it was
 * counted as lost.
 */
import type { Socket } from 'node:net';
import type { buildConnector as BuildConnector } from 'undici';
import buildConnector from 'undici/lib/core/connect.js';
import { takeInterimAnswers } from './interim-answers.js';

/** Whether an error comes from the connection itself, which has then failed and needs no reset. */
function isSystemError(error: Error | undefined): boolean {
  return error !== undefined && 'syscall' in error;
}

/** Makes a socket send a reset when it is destroyed, which discards data that has not been delivered. */
function resetOnDestroy(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  let resetting = false;
  let cause: Error | undefined;
  socket.on('error', () => undefined);
  socket.destroy = (error?: Error): Socket => {
    if (!resetting && !socket.destroyed && !isSystemError(error)) {
      resetting = true;
      cause = error;
      // `resetAndDestroy` calls this function again, without the error.
      socket.resetAndDestroy();
    }
    return destroy(error ?? cause);
  };
}

/**
 * Returns a connector for an undici client that resets destroyed connections and takes interim answers. Takes the options of undici's `buildConnector`.
 *
 * @example
 * new Pool(origin, { connect: buildResettingConnector({ timeout: 500 }) });
 */
export function buildResettingConnector(options: BuildConnector.BuildOptions): BuildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) => {
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        resetOnDestroy(socket);
        takeInterimAnswers(socket);
      }
      callback(...result);
    });
  };
}
