#!/usr/bin/env node
/**
 * Entry point of the command-line interface.
 */
import { Builtins, Cli } from 'clipanion';
import { CheckRouterSettingsCommand } from './command-line/check-router-settings-command.js';
import { ExplainCommand } from './command-line/explain-command.js';
import { LimitsCommand } from './command-line/limits-command.js';
import { LossesCommand } from './command-line/losses-command.js';
import { EmulateServersCommand, EmulateStoreCommand } from './command-line/emulate-command.js';
import { QueryCommand } from './command-line/query-command.js';
import { CheckSettingsCommand, ServeCommand } from './command-line/serve-command.js';
import { LoadCommand } from './command-line/load-command.js';
import { SimulateCommand } from './command-line/simulate-command.js';
import { programVersion } from './command-line/version.js';

const cli = new Cli({
  binaryName: 'fennelferry',
  binaryLabel: 'fennelferry',
  binaryVersion: programVersion(),
});
cli.register(Builtins.HelpCommand);
cli.register(
  class extends Builtins.VersionCommand {
    static override paths = [['version'], ['--version']];
  },
);
cli.register(ServeCommand);
cli.register(CheckSettingsCommand);
cli.register(CheckRouterSettingsCommand);
cli.register(QueryCommand);
cli.register(ExplainCommand);
cli.register(LossesCommand);
cli.register(LimitsCommand);
cli.register(EmulateStoreCommand);
cli.register(EmulateServersCommand);
cli.register(SimulateCommand);
cli.register(LoadCommand);
await cli.runExit(process.argv.slice(2));
