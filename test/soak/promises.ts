/** Checks what callers and servers see against what the product promises, while a soak runs. */
import { QUARANTINE_REASON } from '../../src/router/quarantine/quarantine.js';
import { DEADLY_MARK, type ServerObserver, type ServerStandIn } from './server-stand-in.js';

/** What a caller saw of one request. */
export interface CallerOutcome {
  readonly attemptId: string;
  readonly path: string;
  readonly daemon: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0: the connection ended without an answer. */
  readonly status: number;
  /** The answer's body. */
  readonly reason: string;
  /** The daemon was stopping as planned, and was not killed. */
  readonly plannedStop: boolean;
}

/** A check of what servers get that say something of themselves in answers. */
export interface NoticeCheck {
  onArrival(server: ServerStandIn, attemptId: string): void;
  onAnswer(server: ServerStandIn, attemptId: string): void;
}

interface Runs {
  count: number;
}

/** Answers that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class Promises implements ServerObserver {
  readonly violations: string[] = [];
  /** Runs on servers by attempt. */
  readonly #runs = new Map<string, Runs>();
  readonly #outcomes: CallerOutcome[] = [];
  readonly servers: ServerStandIn[] = [];
  /** Ends a server under a request. */
  onDeadly: (server: ServerStandIn, attemptId: string) => void = () => undefined;
  /** Requests that reached a server that takes no more, if their daemon is bound by that. */
  onArrivalAt: (server: ServerStandIn, attemptId: string) => void = () => undefined;

  /** Each arrival that is run or rejected for rest, and each answer, for checks of what servers say of themselves. */
  readonly noticeChecks: NoticeCheck[] = [];

  fail(promise: string, detail: string): void {
    this.violations.push(`${promise}: ${detail}`);
  }

  onAnswer(server: ServerStandIn, attemptId: string): void {
    this.noticeChecks.forEach((check) => check.onAnswer(server, attemptId));
  }

  onArrival(server: ServerStandIn, attemptId: string, runs: boolean): void {
    if (runs || server.isResting) {
      this.noticeChecks.forEach((check) => check.onArrival(server, attemptId));
    }
    if (runs) {
      const known = this.#runs.get(attemptId) ?? { count: 0 };
      known.count += 1;
      this.#runs.set(attemptId, known);
      this.onArrivalAt(server, attemptId);
    }
  }

  onGrant(server: ServerStandIn, from: number, to: number): void {
    const other = this.servers.find((each) => each !== server && each.holdsAnyOf(from, to));
    if (other !== undefined) {
      this.fail('one owner', `${server.id} is given keys in ${from}-${to} that ${other.id} holds`);
    }
  }

  noteOutcome(outcome: CallerOutcome): void {
    this.#outcomes.push(outcome);
  }

  get outcomes(): readonly CallerOutcome[] {
    return this.#outcomes;
  }

  /** At the end of a run: what can only be said once nothing is under way any more. */
  finish(): void {
    for (const { attemptId, path, status, reason, plannedStop, daemon } of this.#outcomes) {
      const runs = this.#runs.get(attemptId)?.count ?? 0;
      const told = `${attemptId} ${path} at ${daemon}: status ${status}, ${runs} runs`;
      if (path.startsWith('/once/') && runs > 1) {
        this.fail('at most once', told);
      }
      if (NOT_RUN_STATUSES.has(status) && path.startsWith('/once/') && runs > 0) {
        this.fail('not run is true', told);
      }
      if (reason.includes(QUARANTINE_REASON) && !path.includes(DEADLY_MARK)) {
        this.fail('nobody innocent is in quarantine', told);
      }
      if (status === 0 && plannedStop && runs > 0) {
        this.fail('a planned stop loses no answer', told);
      }
    }
  }
}
