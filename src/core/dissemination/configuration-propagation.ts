/**
 * Propagates the routing configuration from the store to every daemon. Only a few watchers read the store;
 * the other daemons receive it along the propagation tree, and the digests on pings repair missed updates.
 */
import { parseRoutingConfiguration, CONFIGURATION_OBJECT } from '../configuration/routing-configuration.js';
import { putInForce } from '../configuration/configuration-state.js';
import type { ReducerContext } from '../context.js';
import type { ObjectReadEvent } from '../events.js';
import { rendezvousOrder } from '../hashing.js';
import type { DaemonId, Milliseconds } from '../identifiers.js';
import { aliveMembers } from '../membership/membership.js';
import type { ConfigurationPush } from '../messages.js';
import { propagate } from './propagation-tree.js';

/** The number of daemons of a side that watch the store. */
const STORE_WATCHERS = 2;

/**
 * A daemon waits this long after its start before it may watch the store, so that it first joins the other
 * daemons, which have the configuration: the store supports only a few readers.
 */
const JOIN_TIME_BEFORE_WATCH: Milliseconds = 500;

/** The shortest time between two selections of the watchers. */
const WATCHER_SELECTION_INTERVAL: Milliseconds = 500;

/**
 * Returns whether this daemon is a watcher of the store. Reselects the watchers when the membership has
 * changed, at most once in each `WATCHER_SELECTION_INTERVAL`.
 */
export function isStoreWatcher(context: ReducerContext): boolean {
  const { membership, configuration } = context.state;
  const members = aliveMembers(membership);
  const { watcherDecision } = configuration;
  if (watcherDecision.members !== members && context.now >= watcherDecision.validUntil) {
    const names = members.map((member) => member.id);
    const chosen = rendezvousOrder(CONFIGURATION_OBJECT, names).slice(0, STORE_WATCHERS);
    const until = context.now + WATCHER_SELECTION_INTERVAL;
    configuration.watcherDecision = { members, own: chosen.includes(membership.self.id), validUntil: until };
  }
  return configuration.watcherDecision.own;
}

/** Starts the next watch for a newer configuration when one is due. */
export function tickConfigurationWatch(context: ReducerContext): void {
  const { configuration, startedAt } = context.state;
  const isJoining = context.now - startedAt < JOIN_TIME_BEFORE_WATCH;
  if (
    isJoining ||
    configuration.storeReadPending ||
    context.now < configuration.nextStoreReadAt ||
    !isStoreWatcher(context)
  ) {
    return;
  }
  configuration.storeReadPending = true;
  context.emit({ kind: 'readObject', name: CONFIGURATION_OBJECT, afterVersion: configuration.version });
}

/** Handles the result of a watch of the configuration object, which may be a failure. */
export function receiveConfigurationObject(context: ReducerContext, event: ObjectReadEvent): void {
  const { configuration, timing, counters } = context.state;
  configuration.storeReadPending = false;
  const reachable = event.result !== null;
  if (configuration.storeReachable !== reachable) {
    configuration.storeReachable = reachable;
    context.log(reachable ? 'info' : 'warn', `the store is ${reachable ? 'reachable' : 'unreachable'}`);
  }
  if (event.result === null) {
    counters.store_failures += 1;
    configuration.nextStoreReadAt = context.now + timing.storeRetryDelay;
    return;
  }
  const { version, value } = event.result;
  const root = context.state.identity.id;
  if (version > configuration.version) {
    applyConfiguration(context, { kind: 'configurationPush', version, text: value, root });
  } else {
    configuration.nextStoreReadAt = context.now + timing.tick;
  }
}

/** Applies a newer configuration and propagates it. */
export function applyConfiguration(context: ReducerContext, message: ConfigurationPush): void {
  const { configuration, rules, counters } = context.state;
  const known =
    message.version === configuration.version || message.version === configuration.rejectedVersion;
  const older = message.version < configuration.version;
  if (known || (older && rules.configurationOnlyForward)) {
    return;
  }
  const parsed = parseRoutingConfiguration(message.text);
  if (parsed.isErr()) {
    counters.configurations_refused += 1;
    configuration.rejectedVersion = message.version;
    configuration.nextStoreReadAt = context.now + context.state.timing.storeRetryDelay;
    context.log(
      'error',
      `configuration ${message.version} is invalid and was not applied: ${parsed.error.faults.join('; ')}`,
    );
    return;
  }
  putInForce(configuration, message.version, message.text, parsed.value);
  counters.configurations_applied += 1;
  context.log('info', `configuration ${message.version} is in force`);
  for (const leadership of context.state.leaderships.values()) {
    leadership.replanNeeded = true;
  }
  if (message.root !== '') {
    propagate(context, message.root, message);
  }
}

/** Sends the configuration to a peer that requested it. */
export function receiveConfigurationPull(context: ReducerContext, sender: DaemonId): void {
  const { version, text } = context.state.configuration;
  if (version > 0) {
    context.send(sender, { kind: 'configurationPush', version, text, root: '' });
  }
}
