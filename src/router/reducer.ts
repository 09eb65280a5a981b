/**
 * The reducer that handles every event of a daemon. It is deterministic: the same events at the same times from the same
 * initial state produce the same effects. It changes the state in place and returns the effects as data.
 */
import type { Effect } from './effects.js';
import type {
  ControlEndedEvent,
  ObjectReadEvent,
  ObjectWrittenEvent,
  PeerMessageEvent,
  RouterEvent,
  SettingsReadEvent,
} from './events.js';
import type { Milliseconds } from './model/identifiers.js';
import { tickLimitProbes } from './limits/limit-probes.js';
import { receiveLimitUpdate, tickLimitUpdates } from './limits/limit-propagation.js';
import {
  resetPermitServiceHealth,
  receivePermitAsk,
  forwardPermitAnswers,
  tickPermitBuckets,
  tickPermitServiceHealth,
} from './limits/permit-exchange.js';
import { receiveServerLimit } from './limits/limit-readings.js';
import * as candidacy from './ownership/candidacy.js';
import * as election from './ownership/election.js';
import { receiveHeartbeat, receiveLeaderNotice } from './ownership/known-leader.js';
import { receiveConfirmation, receiveConfirmationRead, resign } from './ownership/leader-confirmation.js';
import { tickLeader } from './ownership/leader.js';
import { recordServerList } from './ownership/server-succession.js';
import { tickIsolation } from './ownership/isolation.js';
import { receiveTableWritten } from './ownership/table-write.js';
import { receiveOwnership } from './ownership/ownership-broadcast.js';
import { receiveControlEnded } from './ownership/unit-control.js';
import { receiveFeedAnswered, receiveFeedFailed } from './news/feed-health.js';
import { tickStoreConfirmation } from './news/store-confirmation.js';
import { tickStoreDataAge } from './news/store-data-age.js';
import * as news from './news/store-updates.js';
import { applyStoredEvacuationChanges, applyStoredEvacuationList } from './news/apply-evacuations.js';
import { tickStoreWatching } from './news/store-watching.js';
import { receivePathChecked, tickReachability } from './reachability/path-checks.js';
import { createNoticeSnapshots } from './notices/notice-snapshots.js';
import { receiveDrainingUpdate } from './notices/draining-updates.js';
import { receiveServerNotice } from './notices/server-notices.js';
import * as quarantine from './quarantine/quarantine.js';
import {
  confirmCrashesByServerList,
  receiveCrashProbe,
  tickCrashDetection,
} from './quarantine/crash-detection.js';
import {
  receiveQuarantinesRead,
  receiveQuarantinesWritten,
  tickStoredQuarantines,
} from './quarantine/stored-quarantines.js';
import { receiveAttemptEnded } from './request/attempt-outcome.js';
import { dispatchHeldAfterNews } from './request/held-rounds.js';
import { receiveRequest, processEarlyRequests } from './request/request-arrival.js';
import { processPermitAnswers } from './request/request-dispatch.js';
import { receiveCallerLeft, tickRequests } from './request/request-ticks.js';
import { invalidateEarlierRead, invalidateEarlierWrite, handleResumed } from './suspension.js';
import { RouterContext } from './router-context.js';
import type { RouterState } from './router-state.js';
import { withSoundNumbers } from './peers/message-numbers.js';
import { removeChild, receiveReport } from './tree/children.js';
import { tickHeartbeats } from './tree/heartbeats.js';
import { receiveParentClosed, receiveRedirect, tickParent } from './tree/parent.js';
import { sendReportNow, tickReports } from './tree/reports.js';

/**
 * Applies one event to the state and returns the effects to perform.
 *
 * @example
 * const effects = reduce(state, 20, { kind: 'tick' });
 */
export function reduce(state: RouterState, now: Milliseconds, event: RouterEvent): Effect[] {
  const context = new RouterContext(state, now);
  dispatch(context, event);
  dispatchHeldAfterNews(context, event);
  return context.effects;
}

function dispatch(context: RouterContext, event: RouterEvent): void {
  switch (event.kind) {
    case 'tick':
      return tick(context);
    case 'resumed':
      return handleResumed(context, event);
    case 'requestArrived':
      return receiveRequest(context, event);
    case 'attemptEnded':
      return receiveAttemptEnded(context, event);
    case 'serverNoticed':
      return receiveServerNotice(context, event);
    case 'serverLimitRead':
      return receiveServerLimit(context, event);
    case 'pathChecked':
      return receivePathChecked(context, event);
    case 'callerLeft':
      return receiveCallerLeft(context, event);
    case 'configuration':
      news.applyConfiguration(context, event, 'store');
      return processEarlyRequests(context);
    case 'serversListed':
      news.applyStoredServerList(context, event);
      processEarlyRequests(context);
      return handleServerChanges(context);
    case 'serversChanged':
      news.applyStoredServerChanges(context, event);
      return handleServerChanges(context);
    case 'evacuationsListed':
      return applyStoredEvacuationList(context, event);
    case 'evacuationsChanged':
      return applyStoredEvacuationChanges(context, event);
    case 'feedAnswered':
      return receiveFeedAnswered(context, event);
    case 'feedFailed':
      return receiveFeedFailed(context, event);
    case 'objectRead':
      return receiveObjectRead(context, { ...event, outcome: invalidateEarlierRead(context, event) });
    case 'objectWritten':
      return receiveObjectWritten(context, { ...event, outcome: invalidateEarlierWrite(context, event) });
    case 'controlEnded':
      return handleControlEnded(context, event);
    case 'peerMessage':
      return receivePeerMessage(context, event);
    case 'peerLeft':
      return removeChild(context, event.link);
    case 'parentLinkOpened':
      return updateNewParent(context);
    case 'parentLinkClosed':
      election.recordLeaderConnectionClosed(context, event);
      return receiveParentClosed(context, event);
    case 'settingsRead':
      return applySettings(context, event);
    case 'quarantineLifted':
      return quarantine.liftQuarantine(context, event.fingerprint);
    case 'stopping':
      return beginStop(context);
  }
}

function tick(context: RouterContext): void {
  const { leadership } = context.state;
  if (leadership === null) {
    tickParent(context);
    election.tickElection(context);
    tickReports(context);
  } else {
    tickLeader(context, leadership);
    processPermitAnswers(context, tickPermitBuckets(context, leadership));
    tickLimitProbes(context, leadership);
  }
  tickHeartbeats(context);
  tickStoreWatching(context);
  tickStoreConfirmation(context);
  tickStoreDataAge(context);
  tickIsolation(context);
  tickReachability(context);
  tickCrashDetection(context);
  quarantine.tickQuarantine(context);
  tickStoredQuarantines(context);
  tickLimitUpdates(context);
  tickPermitServiceHealth(context);
  tickRequests(context);
}

/** Sends a newly connected parent the reports and notices of this daemon, which the parent may not have. */
function updateNewParent(context: RouterContext): void {
  sendReportNow(context);
  resetPermitServiceHealth(context);
  for (const message of createNoticeSnapshots(context)) {
    context.emit({ kind: 'sendToParent', message });
  }
}

function applySettings(context: RouterContext, { bounds, faults }: SettingsReadEvent): void {
  if (bounds === null) {
    context.log('settings_rejected', { faults }, 'warn');
    return;
  }
  context.state.bounds = bounds;
  context.state.retryBudgets.clear();
  context.log('settings_reloaded', { ...bounds });
}

function beginStop(context: RouterContext): void {
  const { state } = context;
  const { leadership } = state;
  state.stopping = true;
  // The report tells that this daemon takes no more requests of other daemons.
  sendReportNow(context);
  context.log('stopping', { requests: state.requests.size, leader: leadership !== null });
  if (leadership === null) {
    candidacy.dropCandidacy(context, 'a planned stop is under way');
  } else {
    resign(context, leadership, 'a planned stop');
  }
}

function handleControlEnded(context: RouterContext, event: ControlEndedEvent): void {
  const { leadership } = context.state;
  if (!receiveCrashProbe(context, event.callId, event.outcome) && leadership !== null) {
    receiveControlEnded(context, leadership, event);
  }
}

function handleServerChanges(context: RouterContext): void {
  const { leadership } = context.state;
  confirmCrashesByServerList(context);
  if (leadership !== null) {
    recordServerList(context, leadership);
  }
}

function receiveObjectRead(context: RouterContext, event: ObjectReadEvent): void {
  const { leadership } = context.state;
  if (event.object === 'quarantines') {
    receiveQuarantinesRead(context, event);
  } else if (event.object === 'leader') {
    if (leadership === null) {
      election.receiveLeaderRecord(context, event);
    } else {
      receiveConfirmationRead(context, leadership, event);
    }
  } else if (leadership === null) {
    election.receiveOwnershipRecord(context, event);
  }
}

function receiveObjectWritten(context: RouterContext, event: ObjectWrittenEvent): void {
  const { leadership } = context.state;
  if (event.object === 'quarantines') {
    receiveQuarantinesWritten(context, event);
  } else if (event.object === 'leader') {
    if (leadership === null) {
      candidacy.receiveClaimWritten(context, event);
    } else {
      receiveConfirmation(context, leadership, event);
    }
  } else if (leadership === null) {
    candidacy.receiveTableClaimed(context, event);
  } else {
    receiveTableWritten(context, leadership, event);
  }
}

function receivePeerMessage(context: RouterContext, { message: received, link }: PeerMessageEvent): void {
  const message = withSoundNumbers(received);
  if (message !== received) {
    context.state.counters.malformed_peer_messages += 1;
  }
  if (message === null) {
    return;
  }
  const leads = context.state.leadership !== null;
  const source = context.state.tree.children.has(link) ? 'child' : 'parent';
  switch (message.kind) {
    case 'report':
      return receiveReport(context, link, message);
    case 'heartbeat':
      return leads ? undefined : receiveHeartbeat(context, message);
    case 'ownership':
      return leads ? undefined : receiveOwnership(context, message);
    case 'leaderNotice':
      return receiveLeaderNotice(context, message);
    case 'redirect':
      return leads ? undefined : receiveRedirect(context, message);
    case 'serverNews':
      news.receiveServerUpdate(context, message, source);
      processEarlyRequests(context);
      return handleServerChanges(context);
    case 'configurationNews':
      news.receiveConfigurationUpdate(context, message, source);
      return processEarlyRequests(context);
    case 'crashNews':
      return quarantine.receiveCrashUpdate(context, message, source);
    case 'leavingNews':
      return receiveDrainingUpdate(context, message, source);
    case 'limitNews':
      return receiveLimitUpdate(context, message, source);
    case 'permitAsk':
      return processPermitAnswers(context, receivePermitAsk(context, link, message));
    case 'permitAnswer':
      return processPermitAnswers(context, forwardPermitAnswers(context, [message]));
  }
}
