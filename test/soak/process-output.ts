/** The last lines that a process has written, for the report of its end. */
import type { ChildProcess } from 'node:child_process';
import type { Readable } from 'node:stream';

/** Part of the log line of the exception that ends a daemon. */
const FATAL_EVENT = '"event":"uncaught_exception"';
const MAX_KEPT_CHARACTERS = 20_000;
const MAX_LINE_CHARACTERS = 600;

export class ProcessOutput {
  readonly #ended: Promise<unknown>;
  #tail = '';

  constructor(child: ChildProcess) {
    const streams = [child.stdout, child.stderr].filter((stream) => stream !== null);
    streams.forEach((stream) => stream.on('data', (chunk: Buffer) => this.#receive(chunk.toString())));
    this.#ended = Promise.all(streams.map(closed));
  }

  #receive(text: string): void {
    this.#tail = (this.#tail + text).slice(-MAX_KEPT_CHARACTERS);
  }

  /** Resolves when everything that the process has written was read. */
  async ended(): Promise<void> {
    await this.#ended;
  }

  /** The log line of the exception that ended the process, or the last line. */
  get fatalLine(): string {
    const lines = this.#tail.split('\n').filter((line) => line !== '');
    const line = lines.findLast((candidate) => candidate.includes(FATAL_EVENT)) ?? lines.at(-1) ?? '';
    return line.slice(0, MAX_LINE_CHARACTERS);
  }
}

function closed(stream: Readable): Promise<void> {
  return new Promise((resolve) => stream.once('close', resolve));
}
