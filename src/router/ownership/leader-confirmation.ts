/** Keeps the leadership confirmed in the store, and gives it up when another daemon leads. */
import type { ObjectReadEvent, ObjectWrittenEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import { storeDataAge } from '../news/store-data-age.js';
import type { Heartbeat } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership } from './leadership-state.js';
import { LEADERSHIP_CONFIRMATION_INTERVAL, LEADERSHIP_VALIDITY } from './ownership-timing.js';
import { parseLeaderIdentity, parseLeaderRecord, type LeaderRecord } from './stored-objects.js';

/**
 * Delay before the first retry of a refused write. The delay grows with each retry, since refused requests
 * are paid for, too.
 */
export const INITIAL_CONFIRMATION_RETRY_DELAY: Milliseconds = 150;
const MAX_CONFIRMATION_RETRY_DELAY: Milliseconds = 600;
const CONFIRMATION_BACKOFF_FACTOR = 1.5;
/** Age of the confirmation that a leader announces when it resigns. */
const RESIGNED_CONFIRMATION_AGE: Milliseconds = 3_600_000;

function ownRecord(context: RouterContext, leadership: Leadership): LeaderRecord {
  const { daemon, life, peerAddress } = context.state.identity;
  const { term, beat } = leadership;
  const settled = context.now > leadership.formerLeaderCallsEndAt;
  return { term, daemon, life, address: peerAddress, beat, settled, resigned: false };
}

/** Returns whether the leadership was confirmed recently enough to call servers. */
export function isConfirmed({ now }: RouterContext, { confirmedAt }: Leadership): boolean {
  return now - confirmedAt <= LEADERSHIP_VALIDITY;
}

/** Writes the leader record again when that is due. */
export function confirmLeadership(context: RouterContext, leadership: Leadership): void {
  if (leadership.confirmationInFlight || context.now < leadership.nextConfirmationAt) {
    return;
  }
  leadership.confirmationInFlight = true;
  leadership.beat += 1;
  leadership.nextConfirmationAt = context.now + LEADERSHIP_CONFIRMATION_INTERVAL;
  const value = ownRecord(context, leadership);
  context.emit({ kind: 'writeObject', object: 'leader', value, revision: leadership.leaderRevision });
}

function isOwn(context: RouterContext, leadership: Leadership, value: unknown): boolean {
  const record = parseLeaderIdentity(value);
  return record?.term === leadership.term && record.life === context.state.identity.life;
}

/** Handles the outcome of a write that confirms the leadership. */
export function receiveConfirmation(
  context: RouterContext,
  leadership: Leadership,
  event: ObjectWrittenEvent,
): void {
  const { outcome } = event;
  leadership.confirmationInFlight = false;
  if (outcome.kind === 'written') {
    leadership.leaderRevision = outcome.revision;
    leadership.confirmationRetryDelay = INITIAL_CONFIRMATION_RETRY_DELAY;
    leadership.confirmedAt = Math.max(leadership.confirmedAt, event.sentAt);
  } else if (outcome.kind === 'conflict' && isOwn(context, leadership, outcome.value)) {
    // The record is from an earlier write of this leader, whose answer was lost; the next write confirms the
    // leadership.
    leadership.leaderRevision = outcome.revision;
    leadership.nextConfirmationAt = context.now;
  } else if (outcome.kind === 'conflict') {
    stepDown(context, 'another daemon leads', outcome.value);
  } else {
    leadership.nextConfirmationAt = context.now + leadership.confirmationRetryDelay;
    leadership.confirmationRetryDelay = Math.min(
      MAX_CONFIRMATION_RETRY_DELAY,
      leadership.confirmationRetryDelay * CONFIRMATION_BACKOFF_FACTOR,
    );
    if (outcome.kind === 'unknown') {
      leadership.confirmationInFlight = true;
      context.emit({ kind: 'readObject', object: 'leader' });
    }
  }
}

/** Handles the read of the leader record that follows a write without an answer. */
export function receiveConfirmationRead(
  context: RouterContext,
  leadership: Leadership,
  event: ObjectReadEvent,
): void {
  leadership.confirmationInFlight = false;
  if (event.outcome.kind === 'failed') {
    return;
  }
  if (event.outcome.kind === 'found' && isOwn(context, leadership, event.outcome.value)) {
    // Only a write confirms the leadership: the timeout of a successor runs from the last write that it can
    // have seen.
    leadership.leaderRevision = event.outcome.revision;
    leadership.nextConfirmationAt = context.now;
    return;
  }
  stepDown(context, 'another daemon leads', event.outcome.kind === 'found' ? event.outcome.value : null);
}

/** Gives up the leadership. Granted leases expire or are renewed by the successor. */
export function stepDown(context: RouterContext, reason: string, found: unknown): void {
  const { state } = context;
  if (state.leadership === null) {
    return;
  }
  state.counters.leaderships_lost += 1;
  context.log(
    'leadership_lost',
    { term: state.leadership.term, reason, found: parseLeaderRecord(found) },
    'warn',
  );
  state.leadership = null;
  state.election.leaderlessSince = context.now;
  state.election.nextLeaderReadAt = context.now;
}

/** Resigns: sends no further calls to servers, and lets another daemon lead at once. */
export function resign(context: RouterContext, leadership: Leadership, reason: string): void {
  const value = { ...ownRecord(context, leadership), resigned: true };
  context.emit({ kind: 'writeObject', object: 'leader', value, revision: leadership.leaderRevision });
  const { state } = context;
  const message = {
    kind: 'heartbeat',
    term: leadership.term,
    leader: state.identity.daemon,
    leaderLife: state.identity.life,
    leaderAddress: state.identity.peerAddress,
    heardAge: 0,
    confirmationAge: RESIGNED_CONFIRMATION_AGE,
    leaderRevision: 0,
    newsAge: storeDataAge(context),
    evacuationsAge: 0,
    // Confirms no data: it is the same for all children.
    reportSentAt: 0,
    reportHeld: 0,
    daemons: state.daemons,
    pathlessDaemons: state.pathlessDaemons,
    serviceLoads: [],
    proxies: [],
    watchers: [],
    configurationVersion: 0,
    serversRevision: 0,
    serversPosition: 0,
    configurationRevision: 0,
    evacuations: null,
  } satisfies Heartbeat;
  context.emit({ kind: 'sendToChildren', link: null, message });
  state.election.resignedTerm = leadership.term;
  stepDown(context, reason, null);
}
