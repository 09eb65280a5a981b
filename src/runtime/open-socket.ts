/** Opens connections without exceptions. */
import { createConnection, Socket } from 'node:net';
import type { HostAndPort } from '../settings/address.js';

/**
 * Opens a connection. One that can't even be created ends like one that can't be established: with the events `error` and `close`, after the
 * caller has had the time to listen for them.
 */
export function openSocket(target: HostAndPort, noDelay: boolean): Socket {
  try {
    return createConnection({ ...target, noDelay });
  } catch (cause) {
    const socket = new Socket();
    setImmediate(() => socket.destroy(cause instanceof Error ? cause : new Error(String(cause))));
    return socket;
  }
}
