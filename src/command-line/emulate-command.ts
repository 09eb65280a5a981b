/**
 * `fennelferry emulate store` and `fennelferry emulate servers`: run an emulated object store of the platform
 * and emulated upstream servers, each as a separate process.
 */
import { Command, Option } from 'clipanion';
import { isNumber } from 'typanion';
import { INSTANT_BEHAVIOUR, ServerProcess } from '../emulator/server-process.js';
import { startStoreProcess } from '../emulator/store-process.js';
import { routingConfigurationOf, findSystem, SYSTEMS, type SystemDescription } from '../emulator/systems.js';
import { EXIT_BAD_INPUT, EXIT_OK } from './exit-codes.js';

const DEFAULT_READERS = 8;

function waitForTerminationSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}

abstract class EmulateCommand extends Command {
  readonly system = Option.String('--system', 'klang-valley', {
    description: `One of ${SYSTEMS.map((system) => system.name).join(', ')}`,
  });
  readonly serverPorts = Option.String('--server-ports', '7500', {
    validator: isNumber(),
    description: 'Port of the first server; the others use the ports after it',
  });

  protected findSystem(): SystemDescription | null {
    const system = findSystem(this.system);
    if (system === undefined) {
      const names = SYSTEMS.map((known) => known.name).join(', ');
      this.context.stderr.write(`--system: found ${this.system}; allowed: one of ${names}\n`);
    }
    return system ?? null;
  }

  protected configuration(system: SystemDescription): ReturnType<typeof routingConfigurationOf> {
    return routingConfigurationOf(system, (position) => `127.0.0.1:${this.serverPorts + position}`);
  }
}

/** Runs an emulated platform store that holds the routing configuration of a system. */
export class EmulateStoreCommand extends EmulateCommand {
  static override paths = [['emulate', 'store']];
  static override usage = Command.Usage({
    description: "Run an emulation of the platform's object store",
    examples: [
      ['With the device lab', 'fennelferry emulate store --system klang-valley --address 127.0.0.1:7400'],
    ],
  });
  readonly address = Option.String('--address', '127.0.0.1:7400', { description: 'Address to listen on' });
  readonly readers = Option.String('--readers', String(DEFAULT_READERS), {
    validator: isNumber(),
    description: 'Maximum number of readers that wait for changes at once',
  });

  async execute(): Promise<number> {
    const system = this.findSystem();
    if (system === null) {
      return EXIT_BAD_INPUT;
    }
    const routing = JSON.stringify(this.configuration(system));
    const stop = await startStoreProcess({
      address: this.address,
      maxWaitingReaders: this.readers,
      objects: { routing },
    });
    this.context.stdout.write(`emulated store of ${system.name} listening on ${this.address}\n`);
    await waitForTerminationSignal();
    stop();
    return EXIT_OK;
  }
}

/** Runs emulated servers of a system. */
export class EmulateServersCommand extends EmulateCommand {
  static override paths = [['emulate', 'servers']];
  static override usage = Command.Usage({
    description: "Run emulations of a user's upstream servers",
    examples: [
      ['All of the device lab', 'fennelferry emulate servers --system klang-valley'],
      ['Two of the servers', 'fennelferry emulate servers --only rakstatus-01,rakstatus-02'],
    ],
  });
  readonly only = Option.String('--only', { description: 'Run only these servers (comma-separated ids)' });
  readonly instant = Option.Boolean('--instant', false, {
    description: 'Answer without delay, to load-test a daemon',
  });
  readonly except = Option.String('--except', {
    description: 'Run all servers but these (comma-separated ids)',
  });

  async execute(): Promise<number> {
    const system = this.findSystem();
    if (system === null) {
      return EXIT_BAD_INPUT;
    }
    const all = this.configuration(system).groups.flatMap((group) => group.servers);
    const only = this.only?.split(',');
    const except = this.except?.split(',') ?? [];
    const selected = all.filter(
      (server) => (only?.includes(server.id) ?? true) && !except.includes(server.id),
    );
    const unknown = [...(only ?? []), ...except].filter((id) => !all.some((server) => server.id === id));
    if (unknown.length > 0) {
      this.context.stderr.write(`no such servers in ${system.name}: ${unknown.join(', ')}\n`);
      return EXIT_BAD_INPUT;
    }
    const behaviour = this.instant ? INSTANT_BEHAVIOUR : system.behaviour;
    const running = selected.map((server) => new ServerProcess(server.id, behaviour));
    await Promise.all(running.map((server, index) => server.start(selected[index]?.address ?? '')));
    this.context.stdout.write(`running ${running.length} emulated servers of ${system.name}\n`);
    await waitForTerminationSignal();
    running.forEach((server) => server.stop());
    return EXIT_OK;
  }
}
