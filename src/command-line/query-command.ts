/**
 * `fennelferry query`: sends one statement of the query and command language to one daemon.
 */
import { Command, Option } from 'clipanion';
import { sendStatement } from '../admin/admin-client.js';
import { EXIT_BAD_INPUT, EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE } from './exit-codes.js';
import { formatRows } from './table-format.js';

const HTTP_BAD_REQUEST = 400;

/** Sends a statement and prints the answer. */
export class QueryCommand extends Command {
  static override paths = [['query']];
  static override usage = Command.Usage({
    description: 'Send a query or a command to a daemon',
    details: 'docs/LANGUAGE.md lists every form of statement.',
    examples: [
      ['Who owns a key', `fennelferry query "show owner of key 'rack-7' in rakstatus"`],
      ['Move a unit', `fennelferry query "move unit 12 in rakstatus to rakstatus-05"`],
    ],
  });
  readonly statement = Option.String({ name: 'statement' });
  readonly admin = Option.String('--admin', '127.0.0.1:7101', { description: "A daemon's admin address" });
  readonly operator = Option.String('--operator', 'operator', {
    description: 'Name of the operator who sends the statement',
  });
  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' });

  async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    const answer = await sendStatement(this.admin, this.statement, this.operator);
    if (answer.isErr()) {
      stderr.write(`${answer.error.message}\n`);
      return EXIT_UNREACHABLE;
    }
    const { status, body } = answer.value;
    if (this.json) {
      stdout.write(`${JSON.stringify(body)}\n`);
    } else if ('rows' in body) {
      stdout.write(formatRows(body.rows));
    } else {
      (status === 200 ? stdout : stderr).write(`${body.detail}\n`);
    }
    if (status === HTTP_BAD_REQUEST) {
      return EXIT_BAD_INPUT;
    }
    return status === 200 ? EXIT_OK : EXIT_FAILED;
  }
}
