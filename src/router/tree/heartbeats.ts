/** Heartbeats to the children: the leader's own, or what a relay has heard of the leader. */
import type { Milliseconds } from '../model/identifiers.js';
import {
  CONFIRMATION_VALIDITY,
  HEARTBEAT_INTERVAL,
  HEARTBEAT_PATIENCE,
} from '../ownership/ownership-timing.js';
import { newsAge } from '../news/news-age.js';
import type { Heartbeat } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import { type Child, isReporting } from './tree-state.js';

/** Children of the leader that follow the store beside it. */
const WATCHERS = 2;
/** A relay that the store answered this recently is looking for the next leader, and is not cut off. */
const STORE_ANSWER_PATIENCE: Milliseconds = 1_000;
/** The greatest age of a confirmation that is passed on: a leader that resigns says one without bound. */
const LONGEST_AGE: Milliseconds = 3_000;

/** The children that follow the store: those that have been there longest, of different zones if there are some. */
export function chooseWatchers({ state, now }: RouterContext): string[] {
  const { tree, identity } = state;
  const chosen: Child[] = [];
  // Watchers that are gone can't tell of a change that the leader misses.
  const children = [...tree.children.values()].filter((child) => isReporting(child, now));
  const isOfNewZone = ({ zone }: Child): boolean =>
    zone !== identity.zone && chosen.every((other) => other.zone !== zone);
  while (chosen.length < Math.min(WATCHERS, children.length)) {
    const open = children.filter((child) => !chosen.includes(child));
    chosen.push((open.find(isOfNewZone) ?? open[0]) as Child);
  }
  return chosen.map(({ daemon }) => daemon);
}

function relayedHeartbeat(context: RouterContext): Heartbeat | null {
  const { state, now } = context;
  const { election, isolation } = state;
  const { leader } = election;
  const heardAge = now - election.lastHeartbeatAt;
  const isConnected =
    heardAge <= HEARTBEAT_PATIENCE || now - isolation.storeAnsweredAt <= STORE_ANSWER_PATIENCE;
  if (leader === null || !Number.isFinite(heardAge) || !isConnected) {
    return null;
  }
  return {
    kind: 'heartbeat',
    term: leader.term,
    leader: leader.daemon,
    leaderLife: leader.life,
    leaderAddress: leader.address,
    heardAge: Math.round(heardAge),
    confirmationAge: Math.min(LONGEST_AGE, election.confirmationAge),
    leaderRevision: election.leaderRevision,
    newsAge: Math.round(newsAge(context)),
    daemons: state.daemons,
    watchers: [],
    configurationVersion: state.configuration?.version ?? 0,
    serversRevision: state.newestServerRevision,
    evacuations: state.evacuations.statement(),
  };
}

function leaderHeartbeat(context: RouterContext): Heartbeat | null {
  const { state, now } = context;
  const { leadership, identity } = state;
  if (leadership === null || now - leadership.confirmedAt > CONFIRMATION_VALIDITY) {
    return null;
  }
  return {
    kind: 'heartbeat',
    term: leadership.term,
    leader: identity.daemon,
    leaderLife: identity.life,
    leaderAddress: identity.peerAddress,
    heardAge: 0,
    confirmationAge: Math.max(0, Math.round(now - leadership.confirmedAt)),
    leaderRevision: leadership.leaderRevision,
    newsAge: Math.round(newsAge(context)),
    daemons: state.daemons,
    watchers: chooseWatchers(context),
    configurationVersion: state.configuration?.version ?? 0,
    serversRevision: state.newestServerRevision,
    evacuations: state.evacuations.statement(),
  };
}

/** What a child should hear now, or null when this daemon has nothing to say of a leader. */
export function buildHeartbeat(context: RouterContext): Heartbeat | null {
  return leaderHeartbeat(context) ?? relayedHeartbeat(context);
}

/** Sends the heartbeat when it is due. */
export function tickHeartbeats(context: RouterContext): void {
  const { tree } = context.state;
  if (context.now < tree.nextHeartbeatAt || tree.children.size === 0) {
    return;
  }
  tree.nextHeartbeatAt = context.now + HEARTBEAT_INTERVAL;
  const message = buildHeartbeat(context);
  if (message !== null) {
    context.emit({ kind: 'sendToChildren', link: null, message });
  }
}

/** Sends the next heartbeat at once: another daemon leads. */
export function hastenHeartbeat({ state, now }: RouterContext): void {
  state.tree.nextHeartbeatAt = now;
}
