/** Chooses the relay to which the leader redirects a daemon that connects to it. Pure. */
import type { Address } from '../model/address.js';
import type { Child } from './tree-state.js';

/** The leader redirects only when it has at least this many children: small deployments have no relays. */
const MIN_CHILDREN_TO_REDIRECT = 12;
/** Relays in each zone, so that few updates cross zones and the loss of one relay is tolerated. */
const RELAYS_PER_ZONE = 2;
/** Maximum number of daemons in a relay's subtree including itself; 12 relays suffice for about 300 daemons. */
const MAX_DAEMONS_PER_RELAY = 24;

function childWithFewestDaemons(children: readonly Child[]): Child | undefined {
  return children.reduce<Child | undefined>(
    (best, child) => (best === undefined || child.daemons < best.daemons ? child : best),
    undefined,
  );
}

/**
 * Returns the child to which a new daemon of a zone is redirected, or undefined if it stays with the leader.
 *
 * @param failed address of a relay that didn't answer the daemon, or empty
 */
export function chooseRelay(
  children: readonly Child[],
  zone: string,
  failed: Address | '',
): Child | undefined {
  const inZone = children.filter((child) => child.zone === zone);
  if (children.length < MIN_CHILDREN_TO_REDIRECT || inZone.length < RELAYS_PER_ZONE) {
    return undefined;
  }
  const isEligible = (child: Child): boolean =>
    child.daemons < MAX_DAEMONS_PER_RELAY && child.address !== failed;
  return (
    childWithFewestDaemons(inZone.filter(isEligible)) ?? childWithFewestDaemons(children.filter(isEligible))
  );
}
