/**
 * Brings the routing configuration from the platform's store to every daemon. Only the watchers read the
 * store; all others learn along the tree, and the digests on pings repair what the tree missed.
 */
import { parseRoutingConfiguration, CONFIGURATION_OBJECT } from '../configuration/routing-configuration.js';
import { putInForce } from '../configuration/configuration-state.js';
import type { ReducerContext } from '../context.js';
import type { ObjectReadEvent } from '../events.js';
import { rendezvousOrder } from '../hashing.js';
import type { DaemonId, Milliseconds } from '../identifiers.js';
import { aliveMembers } from '../membership/membership.js';
import type { ConfigurationPush } from '../messages.js';
import { spread } from './spread-tree.js';

/** How many daemons of a side read the store. */
const WATCHERS = 2;

/** A daemon joins the others first: they hold the configuration, and the store bears only a few readers. */
const JOIN_FIRST: Milliseconds = 500;

/** Who reads the store is worked out at most this often. */
const CHOICE_KEPT: Milliseconds = 500;

/** Whether this daemon is one of the few that read the store. Worked out anew when the members change, now and then. */
export function isWatcher(context: ReducerContext): boolean {
  const { membership, configuration } = context.state;
  const members = aliveMembers(membership);
  const { watcherDecision: watcherChoice } = configuration;
  if (watcherChoice.members !== members && context.now >= watcherChoice.validUntil) {
    const names = members.map((member) => member.id);
    const chosen = rendezvousOrder(CONFIGURATION_OBJECT, names).slice(0, WATCHERS);
    const until = context.now + CHOICE_KEPT;
    configuration.watcherDecision = { members, own: chosen.includes(membership.self.id), validUntil: until };
  }
  return configuration.watcherDecision.own;
}

/** Starts the next wait for a newer configuration. */
export function tickConfiguration(context: ReducerContext): void {
  const { configuration, startedAt } = context.state;
  const young = context.now - startedAt < JOIN_FIRST;
  if (
    young ||
    configuration.storeReadPending ||
    context.now < configuration.nextStoreReadAt ||
    !isWatcher(context)
  ) {
    return;
  }
  configuration.storeReadPending = true;
  context.emit({ kind: 'readObject', name: CONFIGURATION_OBJECT, afterVersion: configuration.version });
}

/** The store answered a watcher, or did not. */
export function receiveConfigurationObject(context: ReducerContext, event: ObjectReadEvent): void {
  const { configuration, timing, counters } = context.state;
  configuration.storeReadPending = false;
  const reachable = event.result !== null;
  if (configuration.storeReachable !== reachable) {
    configuration.storeReachable = reachable;
    context.log(
      reachable ? 'info' : 'warn',
      `the platform's store ${reachable ? 'answers' : 'does not answer'}`,
    );
  }
  if (event.result === null) {
    counters.store_failures += 1;
    configuration.nextStoreReadAt = context.now + timing.storeRetry;
    return;
  }
  const { version, value } = event.result;
  const root = context.state.identity.id;
  if (version > configuration.version) {
    adoptConfiguration(context, { kind: 'configurationPush', version, text: value, root });
  } else {
    configuration.nextStoreReadAt = context.now + timing.tick;
  }
}

/** Puts a newer configuration in force and passes it on. */
export function adoptConfiguration(context: ReducerContext, message: ConfigurationPush): void {
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
    configuration.nextStoreReadAt = context.now + context.state.timing.storeRetry;
    context.log('error', `configuration ${message.version} is refused: ${parsed.error.faults.join('; ')}`);
    return;
  }
  putInForce(configuration, message.version, message.text, parsed.value);
  counters.configurations_applied += 1;
  context.log('info', `configuration ${message.version} is in force`);
  for (const leadership of context.state.leaderships.values()) {
    leadership.replanNeeded = true;
  }
  if (message.root !== '') {
    spread(context, message.root, message);
  }
}

/** A peer saw that this daemon has a newer configuration. */
export function receiveConfigurationPull(context: ReducerContext, sender: DaemonId): void {
  const { version, text } = context.state.configuration;
  if (version > 0) {
    context.send(sender, { kind: 'configurationPush', version, text, root: '' });
  }
}
