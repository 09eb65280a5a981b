/**
 * Servers in trouble with their answers: they reset connections when full, reject requests, lose the answers of requests that they ran, and answer twice.
 * The times of trouble follow each other and overlap. Uses a random sequence of its own, so that the other faults of a seed do not depend on these.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { FakeServer } from './fake-server.js';
import { pause } from './soak-clock.js';

/** What a server does with one request. */
export type AnswerFault =
  /** Resets the connection and does not run the request. */
  | 'resetWhenFull'
  /** Rejects the request, and does so in its answer. */
  | 'reject'
  /** Rejects the request, and sends the rejection once more in the place of the connection's next answer. */
  | 'rejectTwice'
  /** Runs the request and resets the connection instead of answering. */
  | 'loseAnswerByReset'
  /** Runs the request and never answers. */
  | 'loseAnswerSilently'
  /** Answers, and sends the answer once more in the place of the connection's next one. */
  | 'answerTwice'
  /** Answers, and sends a rejection that names no request in the place of the connection's next answer. */
  | 'rejectNamelessly'
  /** Runs the request, and answers with a status that says nothing of whether it ran. */
  | 'answerUnavailable';

const FAULTS: readonly AnswerFault[] = [
  'resetWhenFull',
  'reject',
  'rejectTwice',
  'loseAnswerByReset',
  'loseAnswerSilently',
  'answerTwice',
  'rejectNamelessly',
  'answerUnavailable',
];
const SHORTEST_TROUBLE_MILLISECONDS = 300;
const LONGEST_TROUBLE_MILLISECONDS = 5_000;
const LONGEST_GAP_MILLISECONDS = 1_500;
/** At most this share of a server's requests meets one kind of trouble. */
const MAX_SHARE = 0.3;
/** At most this share of the servers is in one trouble at a time. */
const MAX_SERVERS = 0.7;

/** A kind of trouble that servers are in. */
interface Trouble {
  readonly fault: AnswerFault;
  readonly share: number;
  readonly servers: ReadonlySet<FakeServer>;
}

/** What the faults act on. */
export interface AnswerFaultEnvironment {
  activeServers(): readonly FakeServer[];
}

export class AnswerFaults {
  readonly #environment: AnswerFaultEnvironment;
  readonly #random: SeededRandom;
  readonly #troubles = new Set<Trouble>();
  readonly #counts = new Map<AnswerFault, number>();

  constructor(seed: number, environment: AnswerFaultEnvironment) {
    this.#environment = environment;
    this.#random = new SeededRandom(seed + 412_000);
  }

  /** Draws troubles for `length` milliseconds, and resolves when the last one is over. */
  async run(length: number): Promise<void> {
    const troubles: Promise<void>[] = [];
    for (let at = 0; at < length;) {
      troubles.push(this.#trouble());
      const gap = this.#random.fraction() * LONGEST_GAP_MILLISECONDS;
      await pause(gap);
      at += gap;
    }
    await Promise.all(troubles);
  }

  /** How often each fault occurred, for the report. */
  get summary(): string {
    return [...this.#counts].map(([fault, count]) => `${fault} ${count}`).join(', ');
  }

  /** Returns what a server does with a request that it would run; null: it answers as usual. */
  draw(server: FakeServer): AnswerFault | null {
    for (const { fault, share, servers } of this.#troubles) {
      if (servers.has(server) && this.#random.fraction() < share) {
        this.#counts.set(fault, (this.#counts.get(fault) ?? 0) + 1);
        return fault;
      }
    }
    return null;
  }

  async #trouble(): Promise<void> {
    const fault = FAULTS[Math.floor(this.#random.fraction() * FAULTS.length)] as AnswerFault;
    const share = this.#random.fraction() * MAX_SHARE;
    const serverShare = this.#random.fraction() * MAX_SERVERS;
    const lasts =
      SHORTEST_TROUBLE_MILLISECONDS +
      this.#random.fraction() * (LONGEST_TROUBLE_MILLISECONDS - SHORTEST_TROUBLE_MILLISECONDS);
    const servers = this.#environment.activeServers().filter(() => this.#random.fraction() < serverShare);
    const trouble = { fault, share, servers: new Set(servers) };
    this.#troubles.add(trouble);
    await pause(lasts);
    this.#troubles.delete(trouble);
  }
}
