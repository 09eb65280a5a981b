/**
 * Makes a reset of a connection an error of its request. undici's client takes a reset for the end of an answer without a length, and libuv
 * reports one that arrives together with the last bytes as an orderly end.
 */
import type { Socket } from 'node:net';
import type { buildConnector as BuildConnector } from 'undici';
import buildConnector from 'undici/lib/core/connect.js';

/** undici takes `ECONNRESET` for an orderly end. */
const ORDERLY_FOR_CLIENT = 'ECONNRESET';
const FAILED = 'UND_ERR_SOCKET';

function resetError(): Error {
  return Object.assign(new Error('the connection was reset'), { code: FAILED });
}

function reportResets(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (event: string, ...args: unknown[]) => boolean;
  socket.emit = (event: string, ...args: unknown[]): boolean => {
    const [error] = args;
    if (event === 'error' && (error as NodeJS.ErrnoException).code === ORDERLY_FOR_CLIENT) {
      return emit(event, resetError());
    }
    // Only a socket that was reset has no peer any more.
    if (event === 'end' && socket.remoteAddress === undefined) {
      socket.destroy(resetError());
      return true;
    }
    return emit(event, ...args);
  };
}

/** Returns a connector for an undici client whose requests fail when their connection is reset. Takes the options of undici's `buildConnector`. */
export function buildReportingConnector(options: BuildConnector.BuildOptions): BuildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) => {
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        reportResets(socket);
      }
      callback(...result);
    });
  };
}
