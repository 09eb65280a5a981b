/**
 * Ids of server incarnations. A server may restart under its former name in the platform's list, without any of its former state.
 * Inside the router a server id always identifies one incarnation: a lease, fence, back-off or quarantine never passes to the next.
 */
import type { ServerId } from './identifiers.js';

/** A server's name in the platform's list, which the server also uses itself. Several incarnations may have the same name. */
export type InstanceName = string;

const SEPARATOR = '#';
/** Matches the part of a server id that follows the instance name. */
const INCARNATION_SUFFIX = /#\d*$/;

/**
 * Returns the id of an incarnation of a server.
 *
 * @param incarnation a number that is unique among the incarnations of the instance, such as the start time; null: none is stated
 *
 * @example
 * buildServerId('i-7', 12); // 'i-7#12'
 */
export function buildServerId(instance: InstanceName, incarnation: number | null): ServerId {
  if (incarnation !== null) {
    return `${instance}${SEPARATOR}${incarnation}`;
  }
  // An extra separator protects a name that itself ends like an incarnation suffix.
  return INCARNATION_SUFFIX.test(instance) ? `${instance}${SEPARATOR}` : instance;
}

/** Returns the instance name of a server id. */
export function instanceOf(server: ServerId): InstanceName {
  return server.replace(INCARNATION_SUFFIX, '');
}
