/**
 * One life of a server. A server may start again under the name that it had in the platform's list; it then holds and knows nothing of
 * before. Everywhere inside, a server's id is that of one life: a lease, a fence, a rest or a quarantine never passes from one to the next.
 */
import type { ServerId } from './identifiers.js';

/** What a server is called in the platform's list, and to itself: another life may have the same name. */
export type InstanceName = string;

const SEPARATOR = '#';
/** What an id has after its instance's name. */
const BIRTH = /#\d*$/;

/**
 * The id of a life.
 *
 * @param born a number that no other life of the instance has, such as the time of its start; null when it says none
 *
 * @example
 * buildServerId('i-7', 12); // 'i-7#12'
 */
export function buildServerId(instance: InstanceName, born: number | null): ServerId {
  if (born !== null) {
    return `${instance}${SEPARATOR}${born}`;
  }
  // A name that ends like a birth keeps its end.
  return BIRTH.test(instance) ? `${instance}${SEPARATOR}` : instance;
}

/** What the server of a life is called. */
export function instanceOf(server: ServerId): InstanceName {
  return server.replace(BIRTH, '');
}
