/** Mean work times of the requests of a service, by priority. Pure. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { CountsByService } from './load-counts.js';

/** The weight of earlier answers decays by a factor of e in this time. Work times change more slowly than demand does. */
const WORK_TIME_DECAY_TIME: Milliseconds = 3_000;

interface WorkTimeEstimate {
  mean: Milliseconds;
  /** Number of answers that the mean stands for; decays. */
  answers: number;
  updatedAt: Milliseconds;
}

/**
 * A mean is kept when there are no new answers: while all servers are full, no request finds a free slot and no work time can be
 * measured.
 */
export class WorkTimes {
  readonly #estimates = new Map<ServiceName, Map<number, WorkTimeEstimate>>();

  /** Adds the answers among the counts. */
  add(counts: CountsByService, now: Milliseconds): void {
    for (const [service, { demands }] of counts) {
      for (const [priority, { answered, workTime }] of demands) {
        if (answered > 0) {
          this.#addAnswers(service, priority, answered, workTime, now);
        }
      }
    }
  }

  #addAnswers(
    service: ServiceName,
    priority: number,
    answered: number,
    workTime: Milliseconds,
    now: Milliseconds,
  ): void {
    const estimates = this.#estimates.get(service) ?? new Map<number, WorkTimeEstimate>();
    this.#estimates.set(service, estimates);
    const estimate = estimates.get(priority) ?? { mean: 0, answers: 0, updatedAt: now };
    estimates.set(priority, estimate);
    estimate.answers *= Math.exp((estimate.updatedAt - now) / WORK_TIME_DECAY_TIME);
    estimate.answers += answered;
    estimate.mean += (workTime / answered - estimate.mean) * (answered / estimate.answers);
    estimate.updatedAt = now;
  }

  /** Returns the mean work time of a priority; null: no answer was measured. */
  meanOf(service: ServiceName, priority: number): Milliseconds | null {
    return this.#estimates.get(service)?.get(priority)?.mean ?? null;
  }
}
