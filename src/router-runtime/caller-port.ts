/**
 * The port for callers, opened before the rest of the program is loaded: loading takes a good part of a
 * second on a small machine, and callers that find no port open are turned away.
 */
import { createServer, type Server } from 'node:http';
import { splitAddress } from '../settings/address.js';

const CONNECTIONS_CHECK_MILLISECONDS = 1_000;

/** A server for callers that does not listen yet. Uses the runtime's own HTTP server. */
export function createCallerServer(): Server {
  return createServer({ connectionsCheckingInterval: CONNECTIONS_CHECK_MILLISECONDS, noDelay: true });
}

/** Listens at `ip:port`. Rejects when the address is taken. */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

/** The address for callers in the text of a settings file that is not checked yet; null if it is not plain JSON. */
export function peekCallerAddress(text: string): string | null {
  try {
    const settings = JSON.parse(text) as { listen?: { http?: unknown } } | null;
    const address = settings?.listen?.http;
    return typeof address === 'string' ? address : null;
  } catch {
    return null;
  }
}
