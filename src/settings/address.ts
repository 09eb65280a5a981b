/**
 * Addresses of the form `<ip>:<port>`.
 */

/** A host and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an address at its last colon. Brackets around an IPv6 address are removed. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
