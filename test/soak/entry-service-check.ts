/** Checks that odd entries cost no service while nothing else is wrong: requests are answered, a change comes into force, and a new server is used. */
import type { Caller } from './caller.js';
import { TIMING } from './deployment.js';
import type { EntryFaults } from './entry-faults.js';
import { CRASHING_PATH_PART, type FakeServer } from './fake-server.js';
import type { CallerOutcome, PromiseChecker, ServerTrafficCheck } from './promise-checker.js';
import { now, pause } from './soak-clock.js';

const MILLISECONDS_PER_SECOND = 1_000;
const PROMISE = 'odd entries cost no service';
/** Share of the requests that are answered. */
const MIN_ANSWERED_SHARE = 0.95;
/** Time for which requests are counted. */
const COUNTED_MILLISECONDS = 5_000;
const APPLY_MILLISECONDS = TIMING.configuration * MILLISECONDS_PER_SECOND;
const COUNTED_PATHS: readonly string[] = ['/keyed/', '/once/'];
const SUCCESS = 200;

/** Functions of the soak that the check needs. */
export interface ServiceCheckEnvironment {
  readonly callers: readonly Caller[];
  readonly entries: EntryFaults;
  /** Writes a configuration with a new route, and resolves with its version. */
  writeConfiguration(): Promise<number>;
  /** Adds a server that any request may be sent to. */
  addServer(): Promise<FakeServer>;
  /** Number of servers that have crashed. */
  crashCount(): number;
}

export class EntryServiceCheck implements ServerTrafficCheck {
  readonly #promises: PromiseChecker;
  readonly #environment: ServiceCheckEnvironment;
  readonly #reached = new Set<FakeServer>();
  #remove: () => Promise<void> = () => Promise.resolve();

  constructor(promises: PromiseChecker, environment: ServiceCheckEnvironment) {
    this.#promises = promises;
    this.#environment = environment;
    promises.trafficChecks.push(this);
  }

  onArrival(server: FakeServer): void {
    this.#reached.add(server);
  }

  onAnswer(): void {
    // Responses are not checked.
  }

  /** Leaves entries, which stand until `end`, and checks the service beside them. */
  async run(): Promise<void> {
    const { entries, addServer, writeConfiguration, crashCount } = this.#environment;
    const crashes = crashCount();
    const from = now();
    this.#remove = await entries.leaveStanding();
    const joined = await addServer();
    const version = await writeConfiguration();
    await pause(APPLY_MILLISECONDS);
    const unserved = await this.#findUnserved(version);
    await pause(from + COUNTED_MILLISECONDS - now());
    if (crashCount() !== crashes) {
      return;
    }
    unserved.forEach((detail) => this.#promises.fail(PROMISE, detail));
    if (!this.#reached.has(joined)) {
      this.#promises.fail(PROMISE, `${joined.id}, which joined beside them, gets no requests`);
    }
    COUNTED_PATHS.forEach((path) => this.#checkShare(path, from));
  }

  /** Removes the entries. */
  async end(): Promise<void> {
    await this.#remove();
  }

  async #findUnserved(version: number): Promise<string[]> {
    const outcomes = await Promise.all(
      this.#environment.callers.map((caller) => caller.call(`/added-${version}/`)),
    );
    return outcomes
      .filter(({ status }) => status !== SUCCESS)
      .map(({ path, daemon, status, reason }) => `${path} at ${daemon}: status ${status} ${reason}`);
  }

  #checkShare(path: string, from: number): void {
    const outcomes = this.#promises.outcomes.filter((outcome) => isCounted(outcome, path, from));
    const answered = outcomes.filter(({ status }) => status === SUCCESS).length;
    if (answered < outcomes.length * MIN_ANSWERED_SHARE) {
      this.#promises.fail(PROMISE, `${answered} of ${outcomes.length} requests of ${path} are answered`);
    }
  }
}

function isCounted({ path, sentAt }: CallerOutcome, counted: string, from: number): boolean {
  return path.startsWith(counted) && !path.includes(CRASHING_PATH_PART) && sentAt >= from;
}
