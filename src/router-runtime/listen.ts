/** Opens listening sockets. */
import type { Server } from 'node:net';
import { hostAndPort, type Address } from '../router/model/address.js';

/** Listens on an address. Rejects when the address is in use. */
export function listen(server: Server, address: Address): Promise<void> {
  const { host, port } = hostAndPort(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
