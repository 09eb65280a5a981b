/**
 * `fennelferry emulate store` and `fennelferry emulate servers`: stand-ins for the platform and the
 * users' servers, as processes of their own.
 */
import { Command, Option } from 'clipanion';
import { isNumber } from 'typanion';
import { INSTANT_BEHAVIOUR, ServerProcess } from '../emulator/server-process.js';
import { startStoreProcess } from '../emulator/store-process.js';
import { configurationOf, findSystem, SYSTEMS, type SystemShape } from '../emulator/systems.js';
import { EXIT_BAD_INPUT, EXIT_OK } from './exit-codes.js';

const DEFAULT_READERS = 8;

function untilStopped(): Promise<void> {
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
    description: 'Port of the first server; the others follow',
  });

  protected findSystem(): SystemShape | null {
    const system = findSystem(this.system);
    if (system === undefined) {
      const names = SYSTEMS.map((known) => known.name).join(', ');
      this.context.stderr.write(`--system: found ${this.system}; allowed: one of ${names}\n`);
    }
    return system ?? null;
  }

  protected configuration(system: SystemShape): ReturnType<typeof configurationOf> {
    return configurationOf(system, (position) => `127.0.0.1:${this.serverPorts + position}`);
  }
}

/** The platform's store, holding the routing configuration of a system. */
export class EmulateStoreCommand extends EmulateCommand {
  static override paths = [['emulate', 'store']];
  static override usage = Command.Usage({
    description: "Run a stand-in for the platform's store",
    examples: [
      ['With the device lab', 'fennelferry emulate store --system klang-valley --address 127.0.0.1:7400'],
    ],
  });
  readonly address = Option.String('--address', '127.0.0.1:7400', { description: 'Where to listen' });
  readonly readers = Option.String('--readers', String(DEFAULT_READERS), {
    validator: isNumber(),
    description: 'How many may wait for changes at once',
  });

  async execute(): Promise<number> {
    const system = this.findSystem();
    if (system === null) {
      return EXIT_BAD_INPUT;
    }
    const routing = JSON.stringify(this.configuration(system));
    const stop = await startStoreProcess({
      address: this.address,
      mostReaders: this.readers,
      objects: { routing },
    });
    this.context.stdout.write(`store of ${system.name} at ${this.address}\n`);
    await untilStopped();
    stop();
    return EXIT_OK;
  }
}

/** Servers of a system. */
export class EmulateServersCommand extends EmulateCommand {
  static override paths = [['emulate', 'servers']];
  static override usage = Command.Usage({
    description: "Run stand-ins for a user's servers",
    examples: [
      ['All of the device lab', 'fennelferry emulate servers --system klang-valley'],
      ['Two of them', 'fennelferry emulate servers --only rakstatus-01,rakstatus-02'],
    ],
  });
  readonly only = Option.String('--only', { description: 'Run just these, by comma' });
  readonly instant = Option.Boolean('--instant', false, {
    description: 'Answer at once: for load on a daemon',
  });
  readonly except = Option.String('--except', { description: 'Run all but these, by comma' });

  async execute(): Promise<number> {
    const system = this.findSystem();
    if (system === null) {
      return EXIT_BAD_INPUT;
    }
    const all = this.configuration(system).groups.flatMap((group) => group.servers);
    const only = this.only?.split(',');
    const except = this.except?.split(',') ?? [];
    const wanted = all.filter((server) => (only?.includes(server.id) ?? true) && !except.includes(server.id));
    const unknown = [...(only ?? []), ...except].filter((id) => !all.some((server) => server.id === id));
    if (unknown.length > 0) {
      this.context.stderr.write(`no such servers in ${system.name}: ${unknown.join(', ')}\n`);
      return EXIT_BAD_INPUT;
    }
    const behaviour = this.instant ? INSTANT_BEHAVIOUR : system.behaviour;
    const running = wanted.map((server) => new ServerProcess(server.id, behaviour));
    await Promise.all(running.map((server, index) => server.start(wanted[index]?.address ?? '')));
    this.context.stdout.write(`${running.length} servers of ${system.name} run\n`);
    await untilStopped();
    running.forEach((server) => server.stop());
    return EXIT_OK;
  }
}
