/** `fennelferry explain`: what became of one request, from the logs of any number of daemons. */
import { Command, Option } from 'clipanion';
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import type { Readable } from 'node:stream';
import { explainRequest } from '../explain/explain-request.js';
import { parseLogLine, type LogLine } from '../explain/log-line.js';
import { EXIT_BAD_INPUT, EXIT_OK, EXIT_FAILED } from './exit-codes.js';

async function readLines(input: Readable): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({ input })) {
    const line = parseLogLine(text);
    if (line !== null) {
      lines.push(line);
    }
  }
  return lines;
}

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Tell what became of one request, from the logs of any number of daemons',
    details: 'Without files the logs are read from standard input.',
    examples: [['Explain a request', 'fennelferry explain 43c307df64f312b7 daemon-1.log daemon-2.log']],
  });
  readonly attemptId = Option.String({ name: 'attempt-id' });
  readonly files = Option.Rest({ name: 'files' });

  override async execute(): Promise<number> {
    const lines: LogLine[] = [];
    try {
      const inputs =
        this.files.length === 0 ? [this.context.stdin] : this.files.map((file) => createReadStream(file));
      for (const input of inputs) {
        lines.push(...(await readLines(input)));
      }
    } catch (cause) {
      this.context.stderr.write(
        `cannot read the logs: ${cause instanceof Error ? cause.message : String(cause)}\n`,
      );
      return EXIT_BAD_INPUT;
    }
    const story = explainRequest(this.attemptId, lines);
    if (story.length === 0) {
      this.context.stderr.write(
        `no line names ${this.attemptId} among ${lines.length}: are the logs of every daemon here, and were lines dropped (log_lines_dropped)?\n`,
      );
      return EXIT_FAILED;
    }
    this.context.stdout.write(`${story.join('\n')}\n`);
    return EXIT_OK;
  }
}
