/** What operators do at bad moments: two at once, drains, changes in quick succession. */
import { editConfiguration } from '../admin/configuration-edits.js';
import type { Milliseconds } from '../core/identifiers.js';
import { note } from './fault-helpers.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { World } from './world.js';

const BURST_CHANGES = 30;
const BURST_SPACING: Milliseconds = 100;

/** Two operators move the same unit and change the same configuration at the same moment. */
export function operatorRace(world: World): void {
  const working = world.daemons.filter((daemon) => daemon.working);
  const group = working[0]?.state.configuration.configuration?.groups.find(
    (candidate) => candidate.kind === 'keyed',
  );
  if (group === undefined) {
    return;
  }
  const unit = world.random.integerBelow(group.slots);
  for (let operator = 0; operator < 2; operator += 1) {
    const daemon = world.random.pick(working);
    const target = world.random.pick(group.servers);
    if (daemon !== undefined && target !== undefined) {
      world.command(daemon, { action: 'move', group: group.name, unit, target: target.id });
      world.command(daemon, { action: 'pin', group: group.name, key: `hot-${unit}`, target: target.id });
      configure(world, daemon, target.id, 'weight', 1 + operator);
    }
  }
}

function configure(
  world: World,
  daemon: SimulatedDaemon,
  server: string,
  field: 'weight' | 'draining',
  value: number,
): void {
  const { configuration, version } = daemon.state.configuration;
  if (configuration === null) {
    return;
  }
  const edit =
    field === 'weight'
      ? ({ kind: 'setServer', server, field, value } as const)
      : ({ kind: 'drain', server, draining: value === 1 } as const);
  const text = editConfiguration(configuration, edit);
  if (text.isErr()) {
    return;
  }
  const command = {
    action: 'configure',
    expectedVersion: version,
    text: text.value,
    operator: daemon.id,
  } as const;
  world.command(daemon, command, (accepted, detail) => {
    if (accepted) {
      world.configurationChecker.accepted(daemon.side, Number(/configuration (\d+)/.exec(detail)?.[1] ?? 0));
      if (field === 'draining') {
        world.drainChecker.changed(server, value === 1, world.now);
      }
    }
  });
}

/** A server is drained, and comes back after a time. */
export function drain(world: World, duration: Milliseconds): void {
  const daemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
  const server = world.random.pick([...world.servers.keys()]);
  if (daemon === undefined || server === undefined) {
    return;
  }
  note(world, `drain of ${server}`);
  configure(world, daemon, server, 'draining', 1);
  world.scheduler.after(duration + 6_000, () => {
    const later = world.random.pick(world.daemons.filter((candidate) => candidate.working));
    if (later !== undefined) {
      world.drainChecker.changed(server, false, world.now);
      configure(world, later, server, 'draining', 0);
    }
  });
}

/** Changes of configuration in quick succession, each through another daemon. */
export function configurationBurst(world: World): void {
  for (let change = 0; change < BURST_CHANGES; change += 1) {
    world.scheduler.after(change * BURST_SPACING, () => {
      const daemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
      const server = world.random.pick([...world.servers.keys()]);
      if (daemon !== undefined && server !== undefined) {
        configure(world, daemon, server, 'weight', 1);
      }
    });
  }
}
