/** `fennelferry explain`: explains the outcome of one request from the logs of any number of daemons. */
import { Command, Option } from 'clipanion';
import { explainRequest } from '../explain/explain-request.js';
import { EXIT_BAD_INPUT, EXIT_OK, EXIT_FAILED } from './exit-codes.js';
import { readLogs } from './read-logs.js';

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explain the outcome of one request from the logs of any number of daemons',
    details: 'Without files, the logs are read from standard input.',
    examples: [['Explain a request', 'fennelferry explain 43c307df64f312b7 daemon-1.log daemon-2.log']],
  });
  readonly attemptId = Option.String({ name: 'attempt-id' });
  readonly files = Option.Rest({ name: 'files' });

  override async execute(): Promise<number> {
    const logs = await readLogs(this.files, this.context.stdin);
    if (logs.isErr()) {
      this.context.stderr.write(`${logs.error}\n`);
      return EXIT_BAD_INPUT;
    }
    const explanation = explainRequest(this.attemptId, logs.value);
    if (explanation.length === 0) {
      this.context.stderr.write(
        `none of ${logs.value.length} log lines contains the attempt id ${this.attemptId}: check that the logs of every daemon are given and that no lines were dropped (log_lines_dropped)\n`,
      );
      return EXIT_FAILED;
    }
    this.context.stdout.write(`${explanation.join('\n')}\n`);
    return EXIT_OK;
  }
}
