/** Opens listening sockets. */
import type { Server } from 'node:net';
import { splitAddress } from '../settings/address.js';

/** Listens on `ip:port`. Rejects when the address is in use. */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
