/** Counts and logs objects of the store that could not be parsed. */
import type { RouterCounters } from '../router/counters.js';
import type { EventLog } from './event-log.js';

/** Malformed store objects that one process logs; all of them are counted. */
const MAX_LOGGED_OBJECTS = 200;
const MAX_LOGGED_NAME_CHARACTERS = 100;
const MAX_LOGGED_PROBLEM_CHARACTERS = 300;

export class MalformedObjects {
  readonly #log: Pick<EventLog, 'event'>;
  readonly #counters: RouterCounters;
  /** `kind/name` of the objects that have been logged, with the problem in place of a name that is not known. */
  readonly #logged = new Set<string>();

  constructor(log: Pick<EventLog, 'event'>, counters: RouterCounters) {
    this.#log = log;
    this.#counters = counters;
  }

  /** Counts every occurrence, and logs each object once, those without a name once for each problem. */
  record(kind: string, name: string, problem: string): void {
    this.#counters.malformed_store_objects += 1;
    const id = `${kind}/${name === '' ? `/${problem}` : name}`;
    if (!this.#logged.has(id) && this.#logged.size < MAX_LOGGED_OBJECTS) {
      this.#logged.add(id);
      this.#log.event('warn', 'malformed_store_object', {
        kind,
        name: name.slice(0, MAX_LOGGED_NAME_CHARACTERS),
        problem: problem.slice(0, MAX_LOGGED_PROBLEM_CHARACTERS),
      });
    }
  }
}
