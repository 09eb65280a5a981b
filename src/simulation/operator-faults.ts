/** Operator actions injected as faults: concurrent commands, drains, and bursts of configuration changes. */
import { editConfiguration } from '../admin/configuration-edits.js';
import type { Milliseconds } from '../core/identifiers.js';
import { logFault } from './fault-helpers.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { World } from './world.js';

const BURST_CHANGES = 30;
const BURST_INTERVAL: Milliseconds = 100;

/** Lets two operators move and pin the same unit and key and change the configuration at the same time. */
export function runConcurrentCommands(world: World): void {
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
      world.sendOperatorCommand(daemon, { action: 'move', group: group.name, unit, target: target.id });
      world.sendOperatorCommand(daemon, {
        action: 'pin',
        group: group.name,
        key: `hot-${unit}`,
        target: target.id,
      });
      changeServerSetting(world, daemon, target.id, 'weight', 1 + operator);
    }
  }
}

function changeServerSetting(
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
  const editedText = editConfiguration(configuration, edit);
  if (editedText.isErr()) {
    return;
  }
  const command = {
    action: 'configure',
    expectedVersion: version,
    text: editedText.value,
    operator: daemon.id,
  } as const;
  world.sendOperatorCommand(daemon, command, (accepted, detail) => {
    if (accepted) {
      world.configurationChecker.accepted(daemon.side, Number(/configuration (\d+)/.exec(detail)?.[1] ?? 0));
      if (field === 'draining') {
        world.drainChecker.changed(server, value === 1, world.now);
      }
    }
  });
}

/** Drains a random server, and ends the drain after a time. */
export function drainRandomServer(world: World, duration: Milliseconds): void {
  const daemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
  const server = world.random.pick([...world.servers.keys()]);
  if (daemon === undefined || server === undefined) {
    return;
  }
  logFault(world, `drain of ${server}`);
  changeServerSetting(world, daemon, server, 'draining', 1);
  world.scheduler.after(duration + 6_000, () => {
    const secondDaemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
    if (secondDaemon !== undefined) {
      world.drainChecker.changed(server, false, world.now);
      changeServerSetting(world, secondDaemon, server, 'draining', 0);
    }
  });
}

/** Changes the configuration in quick succession, each time through a random daemon. */
export function runConfigurationBurst(world: World): void {
  for (let change = 0; change < BURST_CHANGES; change += 1) {
    world.scheduler.after(change * BURST_INTERVAL, () => {
      const daemon = world.random.pick(world.daemons.filter((candidate) => candidate.working));
      const server = world.random.pick([...world.servers.keys()]);
      if (daemon !== undefined && server !== undefined) {
        changeServerSetting(world, daemon, server, 'weight', 1);
      }
    });
  }
}
