import { expect } from 'earl';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { PeerLinks } from '../../src/router-runtime/peer-links.js';
import { router } from '../../src/wire/generated/router.js';
import { toAddress } from '../support/addresses.js';

const LENGTH_BYTES = 4;
const OBSERVED_MILLISECONDS = 1_500;
/** At the shortest delay between two connections there would be ten. */
const MAX_CONNECTIONS = 4;

let parent: Server | undefined;
let links: PeerLinks | undefined;

afterEach(() => {
  links?.close();
  parent?.close();
});

describe('a parent whose messages are malformed', () => {
  // A parent of another version could keep its children busy with new connections.
  it('gets new connections at a decreasing rate', async () => {
    const message = router.Frame.encode({
      redirect: { address: '127.0.0.1:65536' },
    } as router.Frame).finish();
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(message.length, 0);
    let connections = 0;
    parent = createServer((socket) => {
      connections += 1;
      socket.on('error', () => undefined);
      socket.write(Buffer.concat([length, message]));
    });
    const server = parent;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const seen: string[] = [];
    links = new PeerLinks({
      onMessage: (_link, { kind }) => seen.push(kind),
      onChildClosed: () => seen.push('left'),
      onParentOpened: () => undefined,
      onParentClosed: () => undefined,
      onMalformed: () => seen.push('malformed'),
      onMalformedItem: () => seen.push('malformed item'),
    });
    links.connectToParent(toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    await new Promise((resolve) => setTimeout(resolve, OBSERVED_MILLISECONDS));
    expect(connections > 1 && connections <= MAX_CONNECTIONS).toEqual(true);
    expect([...new Set(seen)]).toEqual(['malformed']);
  });
});
