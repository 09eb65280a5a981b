/** Counts the steps that code of the product takes, by V8's block coverage: each run of a function and of a loop's body is one. */
import { Session, type Profiler } from 'node:inspector';

/** Modules whose steps are counted: the product's, and those in which tests plant faults. */
const COUNTED_MODULES = /\/src\/(router|router-runtime)\/|\/platform\/|\/planted-/;

/** Must be created before the counted code runs for the first time: what is compiled before is counted by whole functions only. */
export class StepCounter {
  readonly #session = new Session();

  constructor() {
    this.#session.connect();
    this.#session.post('Profiler.enable');
    this.#session.post('Profiler.startPreciseCoverage', { callCount: true, detailed: true });
  }

  /** Returns the steps that an action takes. */
  count(action: () => void): number {
    this.#takeSteps();
    action();
    return this.#takeSteps();
  }

  /** Ends the counting, which slows all code down. */
  stop(): void {
    this.#session.post('Profiler.stopPreciseCoverage');
    this.#session.disconnect();
  }

  /** Returns the steps since the last call. */
  #takeSteps(): number {
    let steps = 0;
    this.#session.post('Profiler.takePreciseCoverage', (error, { result }) => {
      if (error !== null) {
        throw error;
      }
      steps = result.filter(({ url }) => COUNTED_MODULES.test(url)).reduce(addSteps, 0);
    });
    return steps;
  }
}

function addSteps(sum: number, { functions }: Profiler.ScriptCoverage): number {
  return functions.reduce(
    (total, { ranges }) => ranges.reduce((count, range) => count + range.count, total),
    sum,
  );
}
