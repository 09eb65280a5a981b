/**
 * A daemon's log: one JSON object per line on standard output, through the `consola` library. Lines are kept in a bounded
 * buffer and written asynchronously, so that a slow reader never blocks the daemon. Dropped lines are counted, and their number is logged.
 */
import { createConsola, type ConsolaInstance } from 'consola/core';
import { write, writeSync } from 'node:fs';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { RouterCounters } from '../router/counters.js';
import type { LogEventName } from '../router/log-events.js';

const STANDARD_OUTPUT = 1;
const MAX_BUFFERED_CHARACTERS = 512 * 1024;
/** What warnings and errors may use: a reader that stands still must not fill the heap with them. */
const MAX_URGENT_CHARACTERS = 2 * 1024 * 1024;
const FLUSH_INTERVAL_MILLISECONDS = 100;
/** Lines of level `info` beyond this number are dropped until the next second. */
const MAX_INFO_LINES_PER_SECOND = 400;
const MILLISECONDS_PER_SECOND = 1_000;

/** A log entry as `consola` passes it to a reporter. */
interface ConsolaEntry {
  readonly type: string;
  readonly args: unknown[];
}

export class EventLog {
  readonly #daemon: string;
  readonly #counters: RouterCounters;
  readonly #consola: ConsolaInstance;
  #bufferedLines: string[] = [];
  #bufferedCharacters = 0;
  #isWriting = false;
  #flushTimer: NodeJS.Timeout | undefined;
  #currentSecond = 0;
  #infoLinesInSecond = 0;
  #droppedLines = 0;

  constructor(daemon: string, counters: RouterCounters) {
    this.#daemon = daemon;
    this.#counters = counters;
    this.#consola = createConsola({
      reporters: [{ log: (entry: ConsolaEntry) => this.#appendLine(entry) }],
      throttle: 0,
    });
  }

  /** Logs one event. Lines of level `info` are dropped first, others only if the reader stands still. */
  event(level: 'info' | 'warn' | 'error', event: LogEventName, fields: Record<string, unknown>): void {
    const hasRoom = level === 'info' ? this.#hasRoom() : this.#bufferedCharacters < MAX_URGENT_CHARACTERS;
    if (!hasRoom) {
      this.#droppedLines += 1;
      this.#counters.log_lines_dropped += 1;
      return;
    }
    this.#consola[level](event, fields);
  }

  #hasRoom(): boolean {
    const second = Math.floor(PROCESS_CLOCK.now() / MILLISECONDS_PER_SECOND);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
      this.#infoLinesInSecond = 0;
      this.#logDroppedLines();
    }
    this.#infoLinesInSecond += 1;
    return (
      this.#infoLinesInSecond <= MAX_INFO_LINES_PER_SECOND &&
      this.#bufferedCharacters < MAX_BUFFERED_CHARACTERS
    );
  }

  #logDroppedLines(): void {
    if (this.#droppedLines > 0) {
      const lines = this.#droppedLines;
      this.#droppedLines = 0;
      this.event('warn', 'log_lines_dropped', { lines });
    }
  }

  #appendLine(entry: ConsolaEntry): void {
    const [event, fields] = entry.args as [LogEventName, Record<string, unknown>];
    const uptime = Math.round(PROCESS_CLOCK.now());
    const head = {
      time: new Date().toISOString(),
      uptime_ms: uptime,
      level: entry.type,
      daemon: this.#daemon,
      event,
    };
    const line = `${JSON.stringify({ ...head, ...fields })}\n`;
    this.#bufferedLines.push(line);
    this.#bufferedCharacters += line.length;
    this.#flushTimer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MILLISECONDS);
  }

  #flush(): void {
    this.#flushTimer = undefined;
    if (this.#isWriting || this.#bufferedLines.length === 0) {
      return;
    }
    const text = this.#bufferedLines.join('');
    this.#bufferedLines = [];
    this.#bufferedCharacters = 0;
    this.#writeAll(Buffer.from(text));
  }

  #writeAll(bytes: Buffer): void {
    this.#isWriting = true;
    write(STANDARD_OUTPUT, bytes, (error, written) => {
      this.#isWriting = false;
      if (error === null && written < bytes.length) {
        this.#writeAll(bytes.subarray(written));
      } else if (this.#bufferedLines.length > 0) {
        this.#flushTimer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MILLISECONDS);
      }
    });
  }

  /** Writes the buffered lines before it returns, for a process that is about to end. Lines that the reader has no room for are lost. */
  flushSync(): void {
    clearTimeout(this.#flushTimer);
    const text = this.#bufferedLines.splice(0).join('');
    try {
      writeSync(STANDARD_OUTPUT, text);
    } catch (cause) {
      process.stderr.write(`cannot write the last log lines: ${String(cause)}\n`);
    }
  }

  /** Writes the buffered lines. Returns when they are written, or after one and a half flush intervals. */
  async close(): Promise<void> {
    const maxRounds = 3;
    for (let round = 0; round < maxRounds; round += 1) {
      clearTimeout(this.#flushTimer);
      this.#flush();
      if (!this.#isWriting) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, FLUSH_INTERVAL_MILLISECONDS / 2));
    }
  }
}
