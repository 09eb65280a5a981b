/**
 * Operator commands that change state. Moves, hand-overs and pins are sent to the shard's leader; configuration
 * changes are written to the platform's store by compare-and-swap. On a conflict the reply names the operator
 * whose change was written first.
 */
import { CONFIGURATION_OBJECT, parseRoutingConfiguration } from '../configuration/routing-configuration.js';
import { shardOfUnit, shardsOf } from '../configuration/shard-layout.js';
import type { ReducerContext } from '../context.js';
import { applyConfiguration } from '../dissemination/configuration-propagation.js';
import type {
  ObjectReadEvent,
  ObjectWrittenEvent,
  OperatorCommand,
  OperatorCommandEvent,
} from '../events.js';
import type { DaemonId, Milliseconds, ShardId } from '../identifiers.js';
import type { ShardCommand, ShardCommandReply } from '../messages.js';
import { forceRecovery } from '../ownership/shard-formation.js';
import { startHandOver, startMove, startPin } from '../ownership/shard-commands.js';
import { slotOfKey } from '../routing/key-unit.js';

const COMMAND_TIMEOUT: Milliseconds = 3_000;

type ConfigureCommand = Extract<OperatorCommand, { action: 'configure' }>;

interface PendingConfigure {
  readonly commandId: number;
  readonly command: ConfigureCommand;
  readonly writeId: string;
  readonly deadlineAt: Milliseconds;
  /** The write conflicted or its response was lost, so the object is being read back. */
  readingBack: boolean;
}

export interface CommandState {
  /** Deadlines of the commands sent to a shard's leader, by command id. */
  readonly leaderDeadlines: Map<number, Milliseconds>;
  pendingConfigure: PendingConfigure | null;
}

/** Creates a state without pending commands. */
export function createCommandState(): CommandState {
  return { leaderDeadlines: new Map(), pendingConfigure: null };
}

function emitCommandResult(
  context: ReducerContext,
  commandId: number,
  accepted: boolean,
  detail: string,
): void {
  context.emit({ kind: 'commandResult', commandId, accepted, detail });
}

/** Starts an operator's command: executes it here, forwards it to the shard's leader, or refuses it. */
export function receiveOperatorCommand(context: ReducerContext, event: OperatorCommandEvent): void {
  const { commandId, command } = event;
  if (command.action === 'configure') {
    startConfigure(context, commandId, command);
    return;
  }
  if (command.action === 'recover') {
    startRecovery(context, commandId, command.shard);
    return;
  }
  const group = context.state.configuration.groups.get(command.group);
  if (group?.kind !== 'keyed') {
    emitCommandResult(context, commandId, false, `no keyed group ${command.group}`);
    return;
  }
  const unit = command.action === 'pin' ? slotOfKey(group, command.key) : command.unit;
  const key = command.action === 'pin' ? command.key : '';
  const shard = shardOfUnit(group, unit);
  const { action, target } = command;
  const message: ShardCommand = { kind: 'shardCommand', commandId, shard, action, unit, key, target };
  const leader = context.state.tables.shards.get(shard)?.leader ?? '';
  if (context.state.leaderships.has(shard)) {
    const reply = runShardCommand(context, message);
    emitCommandResult(context, commandId, reply.accepted, reply.reason);
  } else if (context.state.membership.members.has(leader)) {
    context.state.commands.leaderDeadlines.set(commandId, context.now + COMMAND_TIMEOUT);
    context.send(leader, message);
  } else {
    emitCommandResult(
      context,
      commandId,
      false,
      `shard ${shard} has no leader known to this daemon; try again`,
    );
  }
}

function startRecovery(context: ReducerContext, commandId: number, shard: ShardId): void {
  const { configuration } = context.state.configuration;
  const configuredShards = configuration === null ? [] : shardsOf(configuration);
  if (!configuredShards.includes(shard)) {
    emitCommandResult(
      context,
      commandId,
      false,
      `no shard ${shard}; there are: ${configuredShards.join(', ')}`,
    );
  } else if (context.state.leaderships.has(shard)) {
    emitCommandResult(context, commandId, false, `shard ${shard} is led by this daemon: nothing to recover`);
  } else {
    forceRecovery(context, shard);
    emitCommandResult(
      context,
      commandId,
      true,
      `recovery of shard ${shard} has started; use show shards to see when it has a leader`,
    );
  }
}

function runShardCommand(context: ReducerContext, message: ShardCommand): ShardCommandReply {
  const { commandId, shard, action, unit, key, target } = message;
  const leadership = context.state.leaderships.get(shard);
  let refusal: string | null;
  if (leadership?.ready !== true) {
    refusal = `${context.state.identity.id} does not lead shard ${shard}; try again`;
  } else if (action === 'move') {
    refusal = startMove(context, leadership, unit, target);
  } else if (action === 'handOver') {
    refusal = startHandOver(context, leadership, unit, target);
  } else {
    refusal = startPin(context, leadership, key, unit, target);
  }
  const reason = refusal ?? `unit ${unit} is moving to ${target}`;
  return { kind: 'shardCommandReply', commandId, accepted: refusal === null, reason };
}

/** Executes a command from another daemon that considers this one the shard's leader, and sends the reply. */
export function receiveShardCommand(context: ReducerContext, sender: DaemonId, message: ShardCommand): void {
  context.send(sender, runShardCommand(context, message));
}

/** Passes the reply of a shard's leader to the operator. */
export function receiveShardCommandReply(context: ReducerContext, message: ShardCommandReply): void {
  if (context.state.commands.leaderDeadlines.delete(message.commandId)) {
    emitCommandResult(context, message.commandId, message.accepted, message.reason);
  }
}

function startConfigure(context: ReducerContext, commandId: number, command: ConfigureCommand): void {
  const { commands, configuration, identity } = context.state;
  const parsed = parseRoutingConfiguration(command.text);
  if (parsed.isErr()) {
    emitCommandResult(context, commandId, false, parsed.error.faults.join('\n'));
    return;
  }
  if (command.expectedVersion !== configuration.version) {
    const detail = `the change is based on version ${command.expectedVersion}, but version ${configuration.version} is in force`;
    emitCommandResult(context, commandId, false, detail);
    return;
  }
  if (commands.pendingConfigure !== null) {
    emitCommandResult(
      context,
      commandId,
      false,
      'this daemon is already writing another configuration change; try again',
    );
    return;
  }
  const writeId = `${command.operator}@${identity.id}#${identity.incarnation}.${commandId}`;
  const deadlineAt = context.now + COMMAND_TIMEOUT;
  commands.pendingConfigure = { commandId, command, writeId, deadlineAt, readingBack: false };
  context.emit({
    kind: 'writeObject',
    name: CONFIGURATION_OBJECT,
    expectedVersion: command.expectedVersion,
    writeId,
    value: command.text,
  });
}

function completeConfigure(context: ReducerContext, pending: PendingConfigure, version: number): void {
  context.state.commands.pendingConfigure = null;
  const root = context.state.identity.id;
  applyConfiguration(context, { kind: 'configurationPush', version, text: pending.command.text, root });
  emitCommandResult(context, pending.commandId, true, `configuration ${version} is accepted`);
}

/** Handles the result of a configuration write, including a lost response. */
export function receiveConfigurationWritten(context: ReducerContext, event: ObjectWrittenEvent): void {
  const { commands } = context.state;
  const pending = commands.pendingConfigure;
  if (pending === null || pending.writeId !== event.writeId) {
    return;
  }
  if (event.result === 'written') {
    completeConfigure(context, pending, event.version);
    return;
  }
  if (event.result === 'refused') {
    commands.pendingConfigure = null;
    emitCommandResult(
      context,
      pending.commandId,
      false,
      'the platform store refused the change; the configuration is unchanged',
    );
    return;
  }
  // After a conflict or a lost response, only reading the object shows whether the write took effect.
  pending.readingBack = true;
  context.emit({ kind: 'readObject', name: CONFIGURATION_OBJECT, afterVersion: null });
}

/**
 * Resolves a pending configuration change with a read of the object. Returns whether the object contains that
 * change.
 */
export function resolvePendingConfigure(context: ReducerContext, event: ObjectReadEvent): boolean {
  const { commands } = context.state;
  const pending = commands.pendingConfigure;
  if (pending === null || !pending.readingBack) {
    return false;
  }
  if (event.result === null) {
    return false;
  }
  if (event.result.writeId === pending.writeId) {
    completeConfigure(context, pending, event.result.version);
    return true;
  }
  commands.pendingConfigure = null;
  const { version, writeId } = event.result;
  const winner = writeId.slice(0, writeId.indexOf('@'));
  emitCommandResult(
    context,
    pending.commandId,
    false,
    `${winner || 'another operator'} changed it first: now version ${version}`,
  );
  return false;
}

/** Fails the commands whose deadline has passed. */
export function tickCommands(context: ReducerContext): void {
  const { commands } = context.state;
  for (const [commandId, deadlineAt] of commands.leaderDeadlines) {
    if (context.now >= deadlineAt) {
      commands.leaderDeadlines.delete(commandId);
      emitCommandResult(
        context,
        commandId,
        false,
        'the leader did not reply in time: it is unknown whether the command took effect',
      );
    }
  }
  const pending = commands.pendingConfigure;
  if (pending !== null && context.now >= pending.deadlineAt) {
    commands.pendingConfigure = null;
    emitCommandResult(
      context,
      pending.commandId,
      false,
      'the platform store did not respond in time: it is unknown whether the change took effect',
    );
  }
}
