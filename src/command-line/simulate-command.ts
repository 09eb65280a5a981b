/**
 * `fennelferry simulate`: runs scenarios in virtual time and checks the system's guarantees.
 */
import { Command, Option } from 'clipanion';
import { MUTATIONS, type Mutation } from '../simulation/mutations.js';
import { runScenario, type RunResult, type Scenario } from '../simulation/run.js';
import { findScenario, pairedFaultScenarios, singleFaultScenarios } from '../simulation/scenarios.js';
import { SYSTEMS } from '../emulator/systems.js';
import { EXIT_BAD_INPUT, EXIT_FAILED, EXIT_OK } from './exit-codes.js';

interface SeedRange {
  readonly first: number;
  readonly last: number;
}

function parseSeeds(text: string): SeedRange | null {
  const match = /^(\d+)(?:\.\.(\d+))?$/.exec(text);
  if (match === null) {
    return null;
  }
  const first = Number(match[1]);
  return { first, last: Number(match[2] ?? first) };
}

/** Runs scenarios, or checks that the simulation detects planted bugs. */
export class SimulateCommand extends Command {
  static override paths = [['simulate']];
  static override usage = Command.Usage({
    description: 'Run the system in virtual time under faults and check its guarantees',
    details:
      'Exits with 1 when a guarantee is violated (or, with --mutation, when a planted bug is not detected).',
    examples: [
      ['Each fault alone', 'fennelferry simulate --scenario singles --seeds 1..5'],
      ['A pair of faults', 'fennelferry simulate --scenario leader-crash+server-freeze --seeds 1..20'],
      ['Timeline of one seed', 'fennelferry simulate --scenario partition --replay 7'],
      ['All planted bugs', 'fennelferry simulate --mutation all'],
    ],
  });
  readonly seeds = Option.String('--seeds', '1..5', { description: 'One seed or a range, A..B' });
  readonly scenario = Option.String('--scenario', 'singles', {
    description: 'calm, all, singles, pairs, a fault, or faults joined by +; two-sides+... on two sides',
  });
  readonly system = Option.String('--system', 'klang-valley', {
    description: `One of ${SYSTEMS.map((system) => system.name).join(', ')}`,
  });
  readonly replay = Option.String('--replay', { description: 'Print the timeline of this seed' });
  readonly mutation = Option.String('--mutation', {
    description: `all, or one of ${MUTATIONS.map((mutation) => mutation.name).join(', ')}`,
  });
  readonly json = Option.Boolean('--json', false, { description: 'Print one JSON object per run' });

  override execute(): Promise<number> {
    if (this.mutation !== undefined) {
      return Promise.resolve(this.#runMutations(this.mutation));
    }
    const scenarios = this.#scenarios();
    const seeds = parseSeeds(this.replay ?? this.seeds);
    const isKnownSystem = SYSTEMS.some((system) => system.name === this.system);
    if (scenarios === null || seeds === null || !isKnownSystem) {
      this.context.stderr.write('unknown --scenario, --seeds, --replay or --system; see --help\n');
      return Promise.resolve(EXIT_BAD_INPUT);
    }
    return Promise.resolve(this.#runAll(scenarios, seeds));
  }

  #scenarios(): readonly Scenario[] | null {
    if (this.scenario === 'singles') {
      return singleFaultScenarios();
    }
    if (this.scenario === 'pairs') {
      return pairedFaultScenarios();
    }
    const scenario = findScenario(this.scenario);
    return scenario === undefined ? null : [scenario];
  }

  #runAll(scenarios: readonly Scenario[], seeds: SeedRange): number {
    let events = 0;
    let violations = 0;
    let longestOutage = 0;
    let runs = 0;
    for (const scenario of scenarios) {
      for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
        const keepTimeline = this.replay !== undefined;
        const result = runScenario({ scenario, seed, system: this.system, keepTimeline });
        this.#print(result);
        runs += 1;
        events += result.events;
        violations += result.violations.length;
        longestOutage = Math.max(longestOutage, result.longestOutage);
      }
    }
    const summary = {
      runs,
      seeds: `${seeds.first}..${seeds.last}`,
      events,
      violations,
      slowestRecovery: longestOutage,
    };
    this.context.stdout.write(
      this.json
        ? `${JSON.stringify(summary)}\n`
        : `runs ${runs}, seeds ${summary.seeds}, events ${events}, violations ${violations}, longest unavailable time ${longestOutage} ms\n`,
    );
    return violations === 0 ? EXIT_OK : EXIT_FAILED;
  }

  #print(result: RunResult): void {
    const { timeline, ...rest } = result;
    const { stdout } = this.context;
    if (this.replay !== undefined) {
      stdout.write(`${timeline.join('\n')}\n`);
    }
    if (this.json) {
      stdout.write(`${JSON.stringify(rest)}\n`);
      return;
    }
    for (const { promise, at, detail } of result.violations) {
      stdout.write(`${result.scenario} seed ${result.seed}: ${promise} at ${Math.round(at)} ms: ${detail}\n`);
    }
  }

  #runMutations(name: string): number {
    const chosen = MUTATIONS.filter((mutation) => name === 'all' || mutation.name === name);
    if (chosen.length === 0) {
      this.context.stderr.write(`unknown --mutation ${name}; see --help\n`);
      return EXIT_BAD_INPUT;
    }
    const undetected = chosen.filter((mutation) => !this.#isDetected(mutation));
    this.context.stdout.write(
      `planted bugs ${chosen.length}, detected ${chosen.length - undetected.length}\n`,
    );
    return undetected.length === 0 ? EXIT_OK : EXIT_FAILED;
  }

  #isDetected(mutation: Mutation): boolean {
    const { name, faults, rules, twoSides = false } = mutation;
    for (let seed = 1; seed <= mutation.seeds; seed += 1) {
      const run = { scenario: { name, faults, twoSides }, seed, system: this.system };
      const [first] = runScenario({ ...run, rules }).violations;
      // A violation counts only if the same seed passes without the planted bug; otherwise it has another cause.
      if (first !== undefined && runScenario(run).violations.length === 0) {
        this.context.stdout.write(`${name}: detected in seed ${seed} (${first.promise})\n`);
        return true;
      }
    }
    this.context.stdout.write(`${name}: NOT detected within ${mutation.seeds} seeds\n`);
    return false;
  }
}
