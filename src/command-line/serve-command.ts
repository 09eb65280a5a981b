/**
 * `fennelferry serve` runs a daemon; `fennelferry check-settings` checks its settings file.
 */
import { Command, Option } from 'clipanion';
import { Daemon } from '../runtime/daemon.js';
import { readSettings, type SettingsOverrides } from '../settings/daemon-settings.js';
import { EXIT_BAD_INPUT, EXIT_OK, EXIT_UNREACHABLE } from './exit-codes.js';
import { createLogger } from './logging.js';

abstract class SettingsCommand extends Command {
  readonly settings = Option.String('--settings', {
    required: true,
    description: 'The settings file (YAML)',
  });
  readonly id = Option.String('--id', { description: "Overrides the file's id" });
  readonly zone = Option.String('--zone', { description: "Overrides the file's zone" });
  readonly side = Option.String('--side', { description: "Overrides the file's side" });
  readonly http = Option.String('--http', { description: 'Overrides listen.http, the address for callers' });
  readonly admin = Option.String('--admin', {
    description: 'Overrides listen.admin, the address for operators',
  });
  readonly internal = Option.String('--internal', {
    description: 'Overrides listen.internal, the address for other daemons',
  });
  readonly store = Option.String('--store', { description: "Overrides the address of the platform's store" });

  protected overrides(): SettingsOverrides {
    const { id, zone, side, http, admin, internal, store } = this;
    return { id, zone, side, http, admin, internal, store };
  }
}

/** Runs a daemon until it receives SIGTERM or SIGINT. */
export class ServeCommand extends SettingsCommand {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    description: 'Run a daemon',
    details: 'On SIGTERM or SIGINT the daemon accepts no new requests, finishes those in flight and exits.',
    examples: [['Run with a settings file', 'fennelferry serve --settings daemon.yaml']],
  });
  readonly jsonLogs = Option.Boolean('--json-logs', false, {
    description: 'Write each log line as a JSON object',
  });

  async execute(): Promise<number> {
    const settings = readSettings(this.settings, this.overrides());
    if (settings.isErr()) {
      this.context.stderr.write(`${settings.error.message}\n`);
      return EXIT_BAD_INPUT;
    }
    const log = createLogger(settings.value.id, this.jsonLogs);
    const daemon = new Daemon(settings.value, log);
    try {
      await daemon.start();
    } catch (cause) {
      this.context.stderr.write(`cannot start: ${cause instanceof Error ? cause.message : String(cause)}\n`);
      return EXIT_UNREACHABLE;
    }
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    await daemon.stop();
    return EXIT_OK;
  }
}

/** Checks a settings file without starting anything. */
export class CheckSettingsCommand extends SettingsCommand {
  static override paths = [['check-settings']];
  static override usage = Command.Usage({
    description: 'Check a settings file without starting anything',
    examples: [['Check a file', 'fennelferry check-settings --settings daemon.yaml']],
  });

  override execute(): Promise<number> {
    const settings = readSettings(this.settings, this.overrides());
    if (settings.isErr()) {
      this.context.stderr.write(`${settings.error.message}\n`);
      return Promise.resolve(EXIT_BAD_INPUT);
    }
    this.context.stdout.write(`${this.settings}: valid\n`);
    return Promise.resolve(EXIT_OK);
  }
}
