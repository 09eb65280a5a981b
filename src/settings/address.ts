/**
 * Addresses of the form `<ip>:<port>`.
 */

import { isIPv4, isIPv6 } from 'node:net';

/** A host and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;
const PORT_PATTERN = /^\d{1,5}$/;

/** Returns whether a text is an IPv4 number, or an IPv6 number in brackets, and a port. */
export function isAddress(text: string): boolean {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, Math.max(0, colon));
  const port = text.slice(colon + 1);
  const isHost = isIPv4(host) || (/^\[.*\]$/.test(host) && isIPv6(host.slice(1, -1)));
  return isHost && PORT_PATTERN.test(port) && Number(port) <= MAX_PORT;
}

/** Splits an address at its last colon. Brackets around an IPv6 address are removed. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
