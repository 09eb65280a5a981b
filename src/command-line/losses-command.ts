/** `fennelferry losses`: counts the requests that no server answered, from the logs of any number of daemons. */
import { Command, Option } from 'clipanion';
import { summarizeLosses } from '../explain/loss-summary.js';
import { EXIT_BAD_INPUT, EXIT_FAILED, EXIT_OK } from './exit-codes.js';
import { readLogs } from './read-logs.js';
import { formatRows } from './table-format.js';

export class LossesCommand extends Command {
  static override paths = [['losses']];
  static override usage = Command.Usage({
    description: 'Count the requests that no server answered, by service, outcome and reason',
    details:
      'Seconds are counted from the first line of any log. Each attempt of a caller counts separately. Without files, the logs are read from standard input.',
    examples: [['Where requests were lost', 'fennelferry losses daemon-1.log daemon-2.log']],
  });
  readonly files = Option.Rest({ name: 'files' });

  override async execute(): Promise<number> {
    const logs = await readLogs(this.files, this.context.stdin);
    if (logs.isErr()) {
      this.context.stderr.write(`${logs.error}\n`);
      return EXIT_BAD_INPUT;
    }
    if (logs.value.length === 0) {
      this.context.stderr.write(
        'no daemon log line found: check that these are logs of `fennelferry` routers\n',
      );
      return EXIT_FAILED;
    }
    const { answered, rows } = summarizeLosses(logs.value);
    this.context.stdout.write(`${answered} requests were answered by a server.\n`);
    this.context.stdout.write(formatRows(rows.map((row) => ({ ...row }))));
    return EXIT_OK;
  }
}
