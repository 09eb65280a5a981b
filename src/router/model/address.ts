/**
 * Addresses to listen at and to connect to. An `Address` is made by the parser only, so that everything that opens a socket or creates a
 * client gets one that Node.js and the HTTP client accept: their constructors throw on others.
 */
import { err, ok, type Result } from 'neverthrow';
import { isIPv4 } from 'node:net';
import * as z from 'zod';
import type { HostAndPort } from '../../settings/address.js';

declare const parsed: unique symbol;

/**
 * An `ip:port` in canonical form: four octets and a port from 1 to `MAX_PORT`, in decimal without leading zeros. Two addresses are equal if
 * and only if their texts are.
 */
export type Address = string & { readonly [parsed]: true };

const MAX_PORT = 65_535;
const PORT_PATTERN = /^[1-9]\d{0,4}$/;

/** Parses an address. The error says what would be allowed in place of the part that is wrong, without repeating the text. */
export function parseAddress(text: string): Result<Address, string> {
  const colon = text.indexOf(':');
  if (colon < 0) {
    return err('allowed: <ip number>:<port>');
  }
  if (!isIPv4(text.slice(0, colon))) {
    return err('allowed: an ip number of four octets without leading zeros');
  }
  const port = text.slice(colon + 1);
  if (!PORT_PATTERN.test(port) || Number(port) > MAX_PORT) {
    return err(`allowed: a port from 1 to ${MAX_PORT} without leading zeros`);
  }
  return ok(text as Address);
}

/** Schema of an address. */
export const addressSchema = z.string().transform((text, context): Address => {
  const address = parseAddress(text);
  if (address.isErr()) {
    context.addIssue({ code: 'custom', message: address.error });
    return z.NEVER;
  }
  return address.value;
});

/** Returns the parts of an address. */
export function hostAndPort(address: Address): HostAndPort {
  const colon = address.indexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
