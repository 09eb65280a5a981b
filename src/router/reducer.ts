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
import { receiveLimitNews, tickLimits } from './limits/limit-news.js';
import {
  noteNewParent,
  receivePermitAsk,
  route,
  tickPermitBuckets,
  tickPermitContact,
} from './limits/permit-exchange.js';
import { receiveServerLimit } from './limits/limit-readings.js';
import * as candidacy from './ownership/candidacy.js';
import * as election from './ownership/election.js';
import { receiveHeartbeat, receiveLeaderNotice } from './ownership/known-leader.js';
import { receiveConfirmation, receiveLeaderRead, resign } from './ownership/leader-confirmation.js';
import { noteServers, tickLeader } from './ownership/leader.js';
import { tickIsolation } from './ownership/isolation.js';
import { receiveTableWritten } from './ownership/table-write.js';
import { receiveOwnership } from './ownership/ownership-statement.js';
import { receiveControlEnded } from './ownership/unit-control.js';
import { receiveFeedAnswered, receiveFeedFailed } from './news/feed-health.js';
import { tickNewsAge } from './news/news-age.js';
import * as news from './news/spread-news.js';
import { takeEvacuationChanges, takeEvacuationList } from './news/take-evacuations.js';
import { tickStoreFollowing } from './news/store-following.js';
import { describeNotices } from './notices/known-notices.js';
import { receiveLeavingNews } from './notices/leaving-news.js';
import { receiveServerNotice } from './notices/server-notices.js';
import * as quarantine from './quarantine/quarantine.js';
import { noteListedServers, receiveEndProbe, tickServerEnds } from './quarantine/server-ends.js';
import {
  receiveQuarantinesRead,
  receiveQuarantinesWritten,
  tickStoredQuarantines,
} from './quarantine/stored-quarantines.js';
import { receiveAttemptEnded } from './request/attempt-outcome.js';
import { receiveRequest, tickEarlyRequests } from './request/request-arrival.js';
import { takePermitAnswers } from './request/request-dispatch.js';
import { receiveCallerLeft, tickRequests } from './request/request-ticks.js';
import { doubtRead, doubtWrite, resume } from './resume.js';
import { RouterContext } from './router-context.js';
import type { RouterState } from './router-state.js';
import { forgetChild, receiveReport } from './tree/children.js';
import { tickHeartbeats } from './tree/heartbeats.js';
import { receiveParentClosed, receiveRedirect, tickParent } from './tree/parent.js';
import { reportAtOnce, tickReports } from './tree/reports.js';

/**
 * Applies one event to the state and returns the effects to perform.
 *
 * @example
 * const effects = reduce(state, 20, { kind: 'tick' });
 */
export function reduce(state: RouterState, now: Milliseconds, event: RouterEvent): Effect[] {
  const context = new RouterContext(state, now);
  dispatch(context, event);
  return context.effects;
}

function dispatch(context: RouterContext, event: RouterEvent): void {
  switch (event.kind) {
    case 'tick':
      return tick(context);
    case 'resumed':
      return resume(context, event);
    case 'requestArrived':
      return receiveRequest(context, event);
    case 'attemptEnded':
      return receiveAttemptEnded(context, event);
    case 'serverNoticed':
      return receiveServerNotice(context, event);
    case 'serverLimitRead':
      return receiveServerLimit(context, event);
    case 'callerLeft':
      return receiveCallerLeft(context, event);
    case 'configuration':
      news.takeConfiguration(context, event, 'store');
      return tickEarlyRequests(context);
    case 'serversListed':
      news.takeServerList(context, event);
      tickEarlyRequests(context);
      return noteServerChanges(context);
    case 'serversChanged':
      news.takeServerChanges(context, event);
      return noteServerChanges(context);
    case 'evacuationsListed':
      return takeEvacuationList(context, event);
    case 'evacuationsChanged':
      return takeEvacuationChanges(context, event);
    case 'feedAnswered':
      return receiveFeedAnswered(context, event);
    case 'feedFailed':
      return receiveFeedFailed(context, event);
    case 'objectRead':
      return receiveObjectRead(context, { ...event, outcome: doubtRead(context, event) });
    case 'objectWritten':
      return receiveObjectWritten(context, { ...event, outcome: doubtWrite(context, event) });
    case 'controlEnded':
      return receiveControl(context, event);
    case 'peerMessage':
      return receivePeerMessage(context, event);
    case 'peerLeft':
      return forgetChild(context, event.link);
    case 'parentLinkOpened':
      return greetParent(context);
    case 'parentLinkClosed':
      election.noteLeaderUnreachable(context, event);
      return receiveParentClosed(context, event);
    case 'settingsRead':
      return takeSettings(context, event);
    case 'quarantineLifted':
      return quarantine.liftQuarantine(context, event.fingerprint);
    case 'stopping':
      return stop(context);
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
    takePermitAnswers(context, tickPermitBuckets(context, leadership));
    tickLimitProbes(context, leadership);
  }
  tickHeartbeats(context);
  tickStoreFollowing(context);
  tickNewsAge(context);
  tickIsolation(context);
  tickServerEnds(context);
  quarantine.tickQuarantine(context);
  tickStoredQuarantines(context);
  tickLimits(context);
  tickPermitContact(context);
  tickRequests(context);
}

/** Sends a newly connected parent the reports and notices of this daemon, which the parent may not have. */
function greetParent(context: RouterContext): void {
  reportAtOnce(context);
  noteNewParent(context);
  for (const message of describeNotices(context)) {
    context.emit({ kind: 'sendToParent', message });
  }
}

function takeSettings(context: RouterContext, { bounds, faults }: SettingsReadEvent): void {
  if (bounds === null) {
    context.log('settings_rejected', { faults }, 'warn');
    return;
  }
  context.state.bounds = bounds;
  context.state.budgets.clear();
  context.log('settings_reloaded', { ...bounds });
}

function stop(context: RouterContext): void {
  const { state } = context;
  const { leadership } = state;
  state.stopping = true;
  context.log('stopping', { requests: state.requests.size, leader: leadership !== null });
  if (leadership === null) {
    candidacy.dropCandidacy(context, 'a planned stop is under way');
  } else {
    resign(context, leadership);
  }
}

function receiveControl(context: RouterContext, event: ControlEndedEvent): void {
  const { leadership } = context.state;
  if (!receiveEndProbe(context, event.callId, event.outcome) && leadership !== null) {
    receiveControlEnded(context, leadership, event);
  }
}

function noteServerChanges(context: RouterContext): void {
  const { leadership } = context.state;
  noteListedServers(context);
  if (leadership !== null) {
    noteServers(context, leadership);
  }
}

function receiveObjectRead(context: RouterContext, event: ObjectReadEvent): void {
  const { leadership } = context.state;
  if (event.object === 'quarantines') {
    receiveQuarantinesRead(context, event);
  } else if (event.object === 'leader') {
    if (leadership === null) {
      election.receiveLeaderObject(context, event);
    } else {
      receiveLeaderRead(context, leadership, event);
    }
  } else if (leadership === null) {
    election.receiveOwnershipObject(context, event);
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

function receivePeerMessage(context: RouterContext, { message, link }: PeerMessageEvent): void {
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
      news.receiveServerNews(context, message, source);
      tickEarlyRequests(context);
      return noteServerChanges(context);
    case 'configurationNews':
      news.receiveConfigurationNews(context, message, source);
      return tickEarlyRequests(context);
    case 'crashNews':
      return quarantine.receiveCrashNews(context, message, source);
    case 'leavingNews':
      return receiveLeavingNews(context, message, source);
    case 'limitNews':
      return receiveLimitNews(context, message, source);
    case 'permitAsk':
      return takePermitAnswers(context, receivePermitAsk(context, link, message));
    case 'permitAnswer':
      return takePermitAnswers(context, route(context, [message]));
  }
}
