/** Opening a port. */
import type { Server } from 'node:net';
import { splitAddress } from '../settings/address.js';

/** Listens at `ip:port`. Rejects when the address is taken. */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
