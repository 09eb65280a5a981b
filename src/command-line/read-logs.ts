/** Reads daemon logs from files, or from standard input when no files are given. */
import { ResultAsync } from 'neverthrow';
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import type { Readable } from 'node:stream';
import { parseLogLine, type LogLine } from '../explain/log-line.js';

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

async function readInputs(files: readonly string[], standardInput: Readable): Promise<LogLine[]> {
  const inputs = files.length === 0 ? [standardInput] : files.map((file) => createReadStream(file));
  const lines: LogLine[] = [];
  for (const input of inputs) {
    lines.push(...(await readLines(input)));
  }
  return lines;
}

/** Returns every daemon log line in the files, or a message about the file that cannot be read. */
export function readLogs(files: readonly string[], standardInput: Readable): ResultAsync<LogLine[], string> {
  return ResultAsync.fromPromise(readInputs(files, standardInput), (cause) => {
    return `cannot read the logs: ${cause instanceof Error ? cause.message : String(cause)}`;
  });
}
