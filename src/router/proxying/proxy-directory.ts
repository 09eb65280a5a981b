/** The proxies that this daemon knows: itself, daemons below it in the tree, and those that its parent has named. */
import type { DaemonName, Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { type Child, isReporting } from '../tree/tree-state.js';
import {
  describeOwnReach,
  isProxyNeeded,
  isUsableProxy,
  type ProxyCandidate,
  type ProxyDescription,
  toCandidate,
  toDescription,
} from './proxy-candidate.js';

/** Proxies that a heartbeat names to a child that needs them. */
const PROXIES_IN_HEARTBEAT = 8;
/** Proxies of its subtree that a relay names in a report. */
const PROXIES_IN_REPORT = 4;
/** Descriptions that are older than this are not used. */
const MAX_DESCRIPTION_AGE: Milliseconds = 2_000;
/** While no current ones are known, proxies are used that were named within this time, in which a new leader has reached all daemons. */
const RECALL_TIME: Milliseconds = 15_000;
/** Proxies that are kept for this: those of four heartbeats. */
const MAX_RECALLED = 32;

function isCurrent({ describedAt }: ProxyCandidate, now: Milliseconds): boolean {
  return now - describedAt <= MAX_DESCRIPTION_AGE;
}

function candidatesBelow({ tree }: RouterState, now: Milliseconds): ProxyCandidate[] {
  return [...tree.children.values()]
    .filter((child) => isReporting(child, now))
    .flatMap(({ reach, proxies }) => (reach === null ? proxies : [reach, ...proxies]));
}

/** Returns the other daemons whose reach is known, without those whose description is old. */
export function knownDaemons({ state, now }: RouterContext): ProxyCandidate[] {
  const byName = new Map<DaemonName, ProxyCandidate>();
  for (const candidate of [...state.proxying.fromParent, ...candidatesBelow(state, now)]) {
    const isOwn = candidate.daemon === state.identity.daemon;
    const known = byName.get(candidate.daemon);
    if (!isOwn && isCurrent(candidate, now) && (known?.describedAt ?? 0) <= candidate.describedAt) {
      byName.set(candidate.daemon, candidate);
    }
  }
  return [...byName.values()];
}

/** Draws up to `count` proxies, first those that reach the most services, in a random order among equals. */
function draw(
  context: RouterContext,
  candidates: readonly ProxyCandidate[],
  count: number,
): ProxyCandidate[] {
  const { random } = context.state;
  const lossOf = ({ lostServices, lostServers }: ProxyCandidate): number =>
    lostServices.length + (lostServers.length > 0 ? 1 : 0);
  return candidates
    .map((candidate) => ({ candidate, order: lossOf(candidate) + random.fraction() }))
    .sort((left, right) => left.order - right.order)
    .slice(0, count)
    .map(({ candidate }) => candidate);
}

/** Returns the proxies that a heartbeat names to a child; none unless it needs some. */
export function proxiesFor(context: RouterContext, child: Child): ProxyDescription[] {
  if (!child.needsProxies) {
    return [];
  }
  const { state, now } = context;
  const own = toCandidate(describeOwnReach(state, now), now);
  const others = [own, ...knownDaemons(context)].filter(
    (candidate) => candidate.daemon !== child.daemon && isUsableProxy(candidate),
  );
  const ofZone = others.filter(({ zone }) => zone === child.zone);
  const elsewhere = others.filter(({ zone }) => zone !== child.zone);
  const near = draw(context, ofZone, PROXIES_IN_HEARTBEAT / 2);
  const far = draw(context, elsewhere, PROXIES_IN_HEARTBEAT - near.length);
  return [...near, ...far].map((candidate) => toDescription(candidate, now));
}

/** Returns the proxies below this daemon that its report names. */
export function proxiesBelow(context: RouterContext): ProxyDescription[] {
  const { state, now } = context;
  const below = candidatesBelow(state, now).filter(
    (candidate) => isUsableProxy(candidate) && isCurrent(candidate, now),
  );
  return draw(context, below, PROXIES_IN_REPORT).map((candidate) => toDescription(candidate, now));
}

/** Returns whether this daemon or one below it needs proxies. */
export function areProxiesNeeded({ state, now }: RouterContext): boolean {
  const { children } = state.tree;
  return (
    isProxyNeeded(state) ||
    [...children.values()].some((child) => child.needsProxies && isReporting(child, now))
  );
}

/** Records the proxies that the parent has named. */
export function receiveProxies({ state, now }: RouterContext, proxies: readonly ProxyDescription[]): void {
  const { proxying } = state;
  proxying.fromParent = proxies.map((description) => toCandidate(description, now));
  proxying.receivedAt = now;
  for (const candidate of proxying.fromParent) {
    proxying.recalled.delete(candidate.daemon);
    proxying.recalled.set(candidate.daemon, candidate);
  }
  const surplus = Math.max(0, proxying.recalled.size - MAX_RECALLED);
  [...proxying.recalled.keys()].slice(0, surplus).forEach((daemon) => proxying.recalled.delete(daemon));
}

/** Returns the proxies that a parent has named a short time ago. A daemon without a parent hears of no others. */
export function recalledProxies({ state, now }: RouterContext): ProxyCandidate[] {
  return [...state.proxying.recalled.values()].filter(({ describedAt }) => now - describedAt <= RECALL_TIME);
}
