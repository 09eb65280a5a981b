/** Addresses of tests. */
import type { Server } from 'node:http';
import { parseAddress, type Address } from '../../src/router/model/address.js';

/** Returns an address that is known to be one. */
export function toAddress(text: string): Address {
  return parseAddress(text)._unsafeUnwrap();
}

/** Listens at a port of the loopback interface that the operating system chooses. */
export function listenOnLoopback(server: Server): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve());
  });
}
