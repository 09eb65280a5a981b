/**
 * The log of a daemon: one JSON object a line on standard output, by the `consola` library. Lines wait in a
 * bounded buffer and are written without waiting for the reader; what does not fit is counted and said.
 */
import { createConsola, type ConsolaInstance } from 'consola/core';
import { write } from 'node:fs';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { RouterCounters } from '../router/counters.js';
import type { LogEventName } from '../router/log-events.js';

const STANDARD_OUTPUT = 1;
const LARGEST_BUFFER_CHARACTERS = 512 * 1024;
const FLUSH_INTERVAL_MILLISECONDS = 100;
/** Lines in one second beyond which routine ones are dropped. */
const MOST_LINES_PER_SECOND = 400;
const MILLISECONDS_PER_SECOND = 1_000;

/** A line as the reporter gets it. */
interface LogEntry {
  readonly type: string;
  readonly args: unknown[];
}

export class EventLog {
  readonly #daemon: string;
  readonly #counters: RouterCounters;
  readonly #consola: ConsolaInstance;
  #lines: string[] = [];
  #characters = 0;
  #writing = false;
  #timer: NodeJS.Timeout | undefined;
  #second = 0;
  #linesInSecond = 0;
  #dropped = 0;

  constructor(daemon: string, counters: RouterCounters) {
    this.#daemon = daemon;
    this.#counters = counters;
    this.#consola = createConsola({
      reporters: [{ log: (entry: LogEntry) => this.#append(entry) }],
      throttle: 0,
    });
  }

  /** Writes one event. Warnings are kept when routine lines are dropped. */
  event(level: 'info' | 'warn', event: LogEventName, fields: Record<string, unknown>): void {
    if (level === 'info' && !this.#hasRoom()) {
      this.#dropped += 1;
      this.#counters.log_lines_dropped += 1;
      return;
    }
    this.#consola[level](event, fields);
  }

  #hasRoom(): boolean {
    const second = Math.floor(PROCESS_CLOCK.now() / MILLISECONDS_PER_SECOND);
    if (second !== this.#second) {
      this.#second = second;
      this.#linesInSecond = 0;
      this.#sayDropped();
    }
    this.#linesInSecond += 1;
    return this.#linesInSecond <= MOST_LINES_PER_SECOND && this.#characters < LARGEST_BUFFER_CHARACTERS;
  }

  #sayDropped(): void {
    if (this.#dropped > 0) {
      const lines = this.#dropped;
      this.#dropped = 0;
      this.event('warn', 'log_lines_dropped', { lines });
    }
  }

  #append(entry: LogEntry): void {
    const [event, fields] = entry.args as [LogEventName, Record<string, unknown>];
    const at = Math.round(PROCESS_CLOCK.now());
    const head = {
      time: new Date().toISOString(),
      uptime_ms: at,
      level: entry.type,
      daemon: this.#daemon,
      event,
    };
    const line = `${JSON.stringify({ ...head, ...fields })}\n`;
    this.#lines.push(line);
    this.#characters += line.length;
    this.#timer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MILLISECONDS);
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#writing || this.#lines.length === 0) {
      return;
    }
    const text = this.#lines.join('');
    this.#lines = [];
    this.#characters = 0;
    this.#writeAll(Buffer.from(text));
  }

  #writeAll(bytes: Buffer): void {
    this.#writing = true;
    write(STANDARD_OUTPUT, bytes, (error, written) => {
      this.#writing = false;
      if (error === null && written < bytes.length) {
        this.#writeAll(bytes.subarray(written));
      } else if (this.#lines.length > 0) {
        this.#timer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MILLISECONDS);
      }
    });
  }

  /** Writes what waits, and ends when the reader has it or after a moment. */
  async close(): Promise<void> {
    const patience = 3;
    for (let round = 0; round < patience; round += 1) {
      clearTimeout(this.#timer);
      this.#flush();
      if (!this.#writing) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, FLUSH_INTERVAL_MILLISECONDS / 2));
    }
  }
}
