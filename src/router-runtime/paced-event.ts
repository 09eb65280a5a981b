/** Logs a kind of event that input from outside can cause at any rate, at most once per interval. */
import type { LogEventName } from '../router/log-events.js';
import type { Milliseconds } from '../router/model/identifiers.js';
import type { EventLog } from './event-log.js';

const LOG_INTERVAL: Milliseconds = 1_000;
const MAX_TEXT_CHARACTERS = 300;

export class PacedEvent {
  readonly #log: EventLog;
  readonly #event: LogEventName;
  readonly #now: () => Milliseconds;
  #nextLogAt = Number.NEGATIVE_INFINITY;
  #unlogged = 0;

  constructor(log: EventLog, event: LogEventName, now = (): Milliseconds => performance.now()) {
    this.#log = log;
    this.#event = event;
    this.#now = now;
  }

  /** Logs an event, with the number of those since the last line that have none. Long texts are cut. */
  record(fields: Readonly<Record<string, string>>): void {
    const now = this.#now();
    if (now < this.#nextLogAt) {
      this.#unlogged += 1;
      return;
    }
    const texts = Object.entries(fields).map(([name, text]) => [name, text.slice(0, MAX_TEXT_CHARACTERS)]);
    this.#log.event('warn', this.#event, { ...Object.fromEntries(texts), unlogged: this.#unlogged });
    this.#nextLogAt = now + LOG_INTERVAL;
    this.#unlogged = 0;
  }
}
