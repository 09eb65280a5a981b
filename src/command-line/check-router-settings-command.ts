/** `fennelferry check-router-settings`: checks the settings file of a router daemon without starting it. */
import { Command, Option } from 'clipanion';
import { readRouterSettings } from '../router/router-settings.js';
import { EXIT_BAD_INPUT, EXIT_OK } from './exit-codes.js';

export class CheckRouterSettingsCommand extends Command {
  static override paths = [['check-router-settings']];
  static override usage = Command.Usage({
    description: "Check a router daemon's settings file without starting anything",
    examples: [['Check a file', 'fennelferry check-router-settings --settings router.json']],
  });
  readonly settings = Option.String('--settings', {
    required: true,
    description: 'The settings file (YAML or JSON)',
  });

  override execute(): Promise<number> {
    const settings = readRouterSettings(this.settings);
    if (settings.isErr()) {
      this.context.stderr.write(`${settings.error.message}\n`);
      return Promise.resolve(EXIT_BAD_INPUT);
    }
    this.context.stdout.write(`${this.settings}: valid\n`);
    return Promise.resolve(EXIT_OK);
  }
}
