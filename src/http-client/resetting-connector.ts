/**
 * Connections that are reset when they are given up. A socket that is merely closed leaves what was written to
 * the kernel, which goes on sending it: a call that timed out behind a partition would arrive when the
 * partition heals, seconds after it was counted as lost.
 */
import type { Socket } from 'node:net';
import type { buildConnector as BuildConnector } from 'undici';
import buildConnector from 'undici/lib/core/connect.js';

/** Whether the connection itself has failed, so that there is nothing left to reset. */
function isSystemError(error: Error | undefined): boolean {
  return error !== undefined && 'syscall' in error;
}

/** Makes a socket send a reset when it is destroyed; what it has not delivered yet is dropped. */
function resetOnDestroy(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  let resetting = false;
  let cause: Error | undefined;
  socket.on('error', () => undefined);
  socket.destroy = (error?: Error): Socket => {
    if (!resetting && !socket.destroyed && !isSystemError(error)) {
      resetting = true;
      cause = error;
      // Calls this function again, without the cause.
      socket.resetAndDestroy();
    }
    return destroy(error ?? cause);
  };
}

/**
 * A connector for a client of this library, with the options of `buildConnector`.
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
      }
      callback(...result);
    });
  };
}
