/** HTTP servers on ephemeral loopback ports, for tests of the runtime. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

export interface TestServer {
  readonly address: string;
  readonly server: Server;
}

/** Starts a server. Close it with `stopServers`. */
export function startServer(listener: RequestListener): Promise<TestServer> {
  const server = createServer(listener);
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve({ address: `127.0.0.1:${port}`, server });
    });
  });
}

/** Stops servers and closes their connections immediately. */
export function stopServers(...servers: readonly TestServer[]): void {
  for (const { server } of servers) {
    server.closeAllConnections();
    server.close();
  }
}
