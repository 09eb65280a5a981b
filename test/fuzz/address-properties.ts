/** Properties of addresses: any text is an address or rejected, and sockets and clients can be created for each address. */
import fc from 'fast-check';
import { SocketAddress } from 'node:net';
import { URL } from 'node:url';
import { Client } from '../../src/http-client/index.js';
import { hostAndPort, parseAddress, type Address } from '../../src/router/model/address.js';
import type { AnyProperty, FuzzProperty } from './fuzz-property.js';

const HTTP_PORT = '80';

/** Numbers around the limits of octets and ports, some of them written oddly. */
const anyNumber = fc.oneof(
  fc.integer({ min: -1, max: 300 }).map(String),
  fc.integer({ min: 65_500, max: 70_000 }).map(String),
  fc.constantFrom('', '00', '007', '0x10', '1e3', '+1', '1.5', ' 1', '1\n', '٣', 'NaN', '4294967296'),
);
const anyAddressText = fc
  .tuple(fc.array(anyNumber, { minLength: 1, maxLength: 5 }), fc.constantFrom(':', '::', '', ']:'), anyNumber)
  .map(([octets, separator, port]) => `${octets.join('.')}${separator}${port}`);
/** Addresses in which at most the port is wrong. */
const anyPortOfHost = fc.tuple(fc.ipV4(), anyNumber).map(([host, port]) => `${host}:${port}`);
const anyText = fc.oneof(anyAddressText, anyPortOfHost, fc.webAuthority({ withPort: true }), fc.string());

/** Creates what the daemons create for an address. The constructors throw for one that they can't use. */
function isUsable(address: Address): boolean {
  const { host, port } = hostAndPort(address);
  const socketAddress = new SocketAddress({ address: host, port });
  void new Client(`http://${address}`).destroy();
  return socketAddress.address === host && socketAddress.port === port;
}

/** Equal addresses have equal texts if each has the only form in which a URL shows it. */
function isCanonical(address: Address): boolean {
  const { hostname, port } = new URL(`http://${address}`);
  return `${hostname}:${port === '' ? HTTP_PORT : port}` === address;
}

function anyAddressIsUsable(parse: (text: string) => Address | null): AnyProperty {
  return fc.property(anyText, (text) => {
    const address = parse(text);
    return address === null || (isUsable(address) && isCanonical(address));
  }) as AnyProperty;
}

/** Counts digits only, as the planted fault. */
function parseByDigits(text: string): Address | null {
  return /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(text) ? (text as Address) : null;
}

export const ADDRESS_PROPERTIES: readonly FuzzProperty[] = [
  {
    name: 'a text is rejected or an address that sockets and clients can be created for',
    build: () => anyAddressIsUsable((text) => parseAddress(text).unwrapOr(null)),
    buildWithPlantedFault: () => anyAddressIsUsable(parseByDigits),
    shortRuns: 1_000,
  },
];
