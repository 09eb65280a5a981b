/** Whom a daemon that came to the leader is sent to. Pure. */
import type { Child } from './tree-state.js';

/** With no more children than this the leader keeps every daemon: small deployments have no relays. */
const FIRST_RELAYS = 12;
/** Each zone has this many relays, so that news cross zones seldom and the loss of one relay is borne. */
const RELAYS_PER_ZONE = 2;
/** Daemons at and below a relay; with 12 relays that is enough for 300. */
const MOST_BELOW = 24;

function lightest(children: readonly Child[]): Child | undefined {
  return children.reduce<Child | undefined>(
    (best, child) => (best === undefined || child.daemons < best.daemons ? child : best),
    undefined,
  );
}

/**
 * The child that should take a new daemon of a zone, or undefined when the leader should keep it.
 *
 * @param failed a relay that the daemon found unable to answer
 */
export function chooseRelay(children: readonly Child[], zone: string, failed: string): Child | undefined {
  const ofZone = children.filter((child) => child.zone === zone);
  if (children.length < FIRST_RELAYS || ofZone.length < RELAYS_PER_ZONE) {
    return undefined;
  }
  const isOpen = (child: Child): boolean => child.daemons < MOST_BELOW && child.address !== failed;
  return lightest(ofZone.filter(isOpen)) ?? lightest(children.filter(isOpen));
}
