/**
 * The record of a run: requests, violated guarantees and a timeline.
 */
import type { Outcome } from '../core/effects.js';
import type { Milliseconds, ServerId } from '../core/identifiers.js';

/** Names of the guarantees that the checkers verify. */
export const GUARANTEES = [
  'single-owner',
  'acknowledged-survives',
  'whole-own-answer',
  'not-run-is-true',
  'at-most-once',
  'leaving-gets-no-work',
  'planned-stop-cuts-nothing',
  'configuration-in-force',
  'served-again-in-time',
] as const;

/** The name of a guarantee. */
export type GuaranteeName = (typeof GUARANTEES)[number];

/** A violation of a guarantee. */
export interface Violation {
  readonly promise: GuaranteeName;
  readonly at: Milliseconds;
  readonly detail: string;
}

/** A caller's request and its outcome. */
export interface CallRecord {
  readonly id: number;
  readonly repeatable: boolean;
  readonly startedAt: Milliseconds;
  endedAt: Milliseconds;
  /**
   * Outcome that the caller received; `null` while the request is open, `broken` if its connection broke or
   * timed out.
   */
  outcome: Outcome | 'broken' | null;
  /** How often servers have run the request. */
  runs: number;
}

/** Records the requests, violations and timeline of a run. */
export class History {
  readonly violations: Violation[] = [];
  readonly calls = new Map<number, CallRecord>();
  readonly timeline: string[] = [];
  readonly #keepTimeline: boolean;

  constructor(keepTimeline: boolean) {
    this.#keepTimeline = keepTimeline;
  }

  /** Adds a line to the timeline, if the run keeps one. */
  logLine(at: Milliseconds, text: string): void {
    if (this.#keepTimeline) {
      this.timeline.push(`${at.toFixed(1).padStart(10)} ms  ${text}`);
    }
  }

  /** Records a violation of a guarantee. */
  recordViolation(promise: GuaranteeName, at: Milliseconds, detail: string): void {
    this.violations.push({ promise, at, detail });
    this.logLine(at, `VIOLATION ${promise}: ${detail}`);
  }

  /** Records that a server has run a request, and checks that the run was allowed. */
  recordRun(callId: number, server: ServerId, at: Milliseconds): void {
    const call = this.calls.get(callId);
    if (call === undefined) {
      return;
    }
    call.runs += 1;
    if (!call.repeatable && call.runs > 1) {
      this.recordViolation('at-most-once', at, `request ${callId} ran again, on ${server}`);
    }
    if (call.outcome === 'not-run') {
      this.recordViolation(
        'not-run-is-true',
        at,
        `request ${callId} ran on ${server} after its caller had received not-run`,
      );
    }
  }

  /**
   * Records the outcome that a caller received, and checks it. Only the first outcome of a request counts.
   */
  ended(callId: number, outcome: Outcome | 'broken', at: Milliseconds): void {
    const call = this.calls.get(callId);
    if (call === undefined || call.outcome !== null) {
      return;
    }
    call.outcome = outcome;
    call.endedAt = at;
    if (outcome === 'not-run' && call.runs > 0) {
      this.recordViolation(
        'not-run-is-true',
        at,
        `request ${callId} had already run when its caller received not-run`,
      );
    }
  }
}
