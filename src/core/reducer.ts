/**
 * The reducer that handles all events of a daemon. Deterministic: the same initial state and the same events
 * at the same times produce the same effects. The state is changed in place; the effects are returned as
 * data.
 */
import * as commands from './commands/operator-commands.js';
import { CONFIGURATION_OBJECT } from './configuration/routing-configuration.js';
import {
  transferLeadership,
  receiveCampaign,
  receiveVoteReply,
  receiveVoteRequest,
  tickElection,
} from './consensus/election.js';
import {
  requestSnapshot,
  receiveAppend,
  receiveAppendReply,
  receiveSnapshot,
  tickReplication,
} from './consensus/replication.js';
import { createShardReplica, type ShardReplica } from './consensus/shard-replica.js';
import { ReducerContext } from './context.js';
import type { DaemonState } from './daemon-state.js';
import * as configurationSpread from './dissemination/configuration-propagation.js';
import { receiveTableDelta, sendNewerTables } from './dissemination/table-propagation.js';
import type { Effect } from './effects.js';
import type { DaemonEvent, ObjectReadEvent, ObjectWrittenEvent, TimedEvent } from './events.js';
import { replicaId, type ReplicaId } from './identifiers.js';
import { receiveMemberSync } from './membership/member-sync.js';
import * as membership from './membership/membership.js';
import { createEmptyChange, type ConsensusMessage, type Envelope } from './messages.js';
import * as handOver from './ownership/hand-over.js';
import * as checkpoint from './ownership/shard-checkpoint.js';
import { isShardObject, shardOfObject } from './ownership/shard-object.js';
import * as formation from './ownership/shard-formation.js';
import { tickReplicaRepair } from './ownership/replica-repair.js';
import { receiveControlReply, tickLeadership } from './ownership/shard-leadership.js';
import * as requests from './request/request-reducer.js';

/**
 * Applies one event to the state and returns the effects to perform.
 *
 * @example
 * const effects = reduce(state, { now: 20, event: { kind: 'tick' } });
 */
export function reduce(state: DaemonState, { now, event }: TimedEvent): Effect[] {
  const context = new ReducerContext(state, now);
  if (state.startedAt < 0) {
    state.startedAt = now;
  }
  dispatchEvent(context, event);
  return context.effects;
}

function dispatchEvent(context: ReducerContext, event: DaemonEvent): void {
  switch (event.kind) {
    case 'tick':
      return tick(context);
    case 'stopping':
      return beginPlannedStop(context);
    case 'peerMessage':
      return receiveEnvelope(context, event.envelope);
    case 'controlReply': {
      const leadership = context.state.leaderships.get(event.shard);
      if (leadership?.replica.term === event.term) {
        receiveControlReply(context, leadership, event.server, event.reply);
      }
      return;
    }
    case 'objectRead':
      return receiveObjectRead(context, event);
    case 'objectWritten':
      return receiveObjectWritten(context, event);
    case 'requestArrived':
      return requests.receiveRequest(context, event);
    case 'answerStarted':
      return requests.receiveAnswerStarted(context, event.requestId, event.attempt);
    case 'attemptEnded':
      return requests.receiveAttemptEnded(context, event);
    case 'callerLeft':
      return requests.receiveCallerLeft(context, event.requestId);
    case 'operatorCommand':
      return commands.receiveOperatorCommand(context, event);
  }
}

function tick(context: ReducerContext): void {
  membership.tickMembership(context);
  configurationSpread.tickConfigurationWatch(context);
  formation.tickFormation(context);
  for (const replica of context.state.replicas.values()) {
    tickElection(context, replica);
    tickReplication(context, replica);
  }
  for (const leadership of [...context.state.leaderships.values()]) {
    tickLeadership(context, leadership);
    tickReplicaRepair(context, leadership.replica);
    handOver.tickHandOver(context, leadership);
    checkpoint.tickCheckpoint(context, leadership);
  }
  commands.tickCommands(context);
  requests.tickRequests(context);
}

/**
 * Begins a planned stop: transfers leadership where another replica can take over, and leaves the membership.
 * Requests in flight continue.
 */
function beginPlannedStop(context: ReducerContext): void {
  context.state.stopping = true;
  for (const { replica } of [...context.state.leaderships.values()]) {
    transferLeadership(context, replica);
  }
  membership.announceLeave(context);
}

function receiveObjectRead(context: ReducerContext, event: ObjectReadEvent): void {
  if (isShardObject(event.name)) {
    const leadership = context.state.leaderships.get(shardOfObject(event.name));
    if (leadership === undefined) {
      formation.receiveShardObject(context, event);
    } else {
      checkpoint.receiveCheckpointRead(context, leadership, event);
    }
  } else if (event.name === CONFIGURATION_OBJECT && !commands.resolvePendingConfigure(context, event)) {
    configurationSpread.receiveConfigurationObject(context, event);
  }
}

function receiveObjectWritten(context: ReducerContext, event: ObjectWrittenEvent): void {
  const leadership = isShardObject(event.name)
    ? context.state.leaderships.get(shardOfObject(event.name))
    : undefined;
  if (leadership?.checkpoint.pendingWrite) {
    checkpoint.receiveCheckpointWritten(context, leadership, event);
  } else if (isShardObject(event.name)) {
    formation.receiveShardObjectWritten(context, event);
  } else {
    commands.receiveConfigurationWritten(context, event);
  }
}

function receiveEnvelope(context: ReducerContext, envelope: Envelope): void {
  const { state } = context;
  const { recipientIncarnation, message, sender } = envelope;
  const forAnotherIncarnation =
    recipientIncarnation !== 0 && recipientIncarnation !== state.identity.incarnation;
  if (forAnotherIncarnation && state.rules.checkIncarnation) {
    state.counters.peer_messages_dropped += 1;
    return;
  }
  switch (message.kind) {
    case 'ping':
      return membership.receivePing(context, sender, message);
    case 'pingAck':
      return membership.receivePingAck(context, sender, message);
    case 'pingRequest':
      return membership.receivePingRequest(context, sender, message);
    case 'memberSync':
      return receiveMemberSync(context, sender, message);
    case 'form':
      return formation.receiveForm(context, message);
    case 'tableDelta':
      return receiveTableDelta(context, sender, message);
    case 'tablePull':
      return sendNewerTables(context, sender, message.versions);
    case 'configurationPush':
      return configurationSpread.applyConfiguration(context, message);
    case 'configurationPull':
      return configurationSpread.receiveConfigurationPull(context, sender);
    case 'shardCommand':
      return commands.receiveShardCommand(context, sender, message);
    case 'shardCommandReply':
      return commands.receiveShardCommandReply(context, message);
    case 'handOver':
      return handOver.receiveHandOver(context, message);
    case 'handOverReply':
      return handOver.receiveHandOverReply(context, message);
    default:
      return receiveConsensusMessage(context, replicaId(sender, envelope.senderIncarnation), message);
  }
}

/**
 * Returns the replica that a message is for. Creates the replica of a daemon new to the shard when the
 * leader's first snapshot arrives.
 */
function findOrCreateReplica(context: ReducerContext, message: ConsensusMessage): ShardReplica | undefined {
  const { replicas } = context.state;
  const known = replicas.get(message.shard);
  const generation = known?.generation ?? 0;
  if (message.kind === 'snapshot' && generation < message.generation) {
    const self = formation.ownReplicaId(context);
    const created = createShardReplica(
      message.shard,
      message.generation,
      self,
      message.replicas,
      createEmptyChange(),
    );
    replicas.set(message.shard, created);
    return created;
  }
  return generation === message.generation ? known : undefined;
}

function receiveConsensusMessage(
  context: ReducerContext,
  sender: ReplicaId,
  message: ConsensusMessage,
): void {
  const replica = findOrCreateReplica(context, message);
  if (replica === undefined) {
    if (message.kind === 'append') {
      requestSnapshot(context, sender, message);
    }
    return;
  }
  switch (message.kind) {
    case 'voteRequest':
      return receiveVoteRequest(context, replica, sender, message);
    case 'voteReply':
      return receiveVoteReply(context, replica, sender, message);
    case 'append':
      return receiveAppend(context, replica, sender, message);
    case 'appendReply':
      return receiveAppendReply(context, replica, sender, message);
    case 'campaign':
      return receiveCampaign(context, replica, message);
    case 'snapshot':
      return receiveSnapshot(context, replica, sender, message);
  }
}
