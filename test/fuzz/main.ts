/** Runs the properties of the suite with one seed after another until the time is over, or replays one counterexample. */
import { Builtins, Cli, Command, Option } from 'clipanion';
import fc from 'fast-check';
import * as t from 'typanion';
import { ALL_PROPERTIES } from './all-properties.js';
import type { FuzzProperty } from './fuzz-property.js';

const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_RUNS = 200;

class FuzzCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Tries random inputs at the boundaries of a daemon.',
    examples: [
      ['Run for five minutes from seed 7', 'npm run fuzz -- --seed 7 --seconds 300'],
      ['Replay a counterexample', 'npm run fuzz -- --property NAME --seed 7 --path 3:1:0'],
    ],
  });

  seed = Option.String('--seed', '1', { validator: t.isNumber(), description: 'The first seed.' });
  seconds = Option.String('--seconds', '60', {
    validator: t.isNumber(),
    description: 'No seed is begun after this many seconds.',
  });
  runs = Option.String('--runs', String(DEFAULT_RUNS), {
    validator: t.isNumber(),
    description: 'Inputs tried for each property and seed.',
  });
  property = Option.String('--property', { description: 'Runs this property only.' });
  counterexample = Option.String('--path', {
    description: 'Replays the counterexample at this path of the seed.',
  });

  override async execute(): Promise<number> {
    const properties = ALL_PROPERTIES.filter(
      ({ name }) => this.property === undefined || name === this.property,
    );
    const startedAt = performance.now();
    let seed = this.seed;
    let inputs = 0;
    let failures = 0;
    do {
      for (const property of properties) {
        const details = await this.#check(property, seed);
        inputs += details.numRuns;
        failures += details.failed ? 1 : 0;
      }
      seed += 1;
    } while (this.counterexample === undefined && !this.#isOver(startedAt));
    const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
    const inputsPerMinute = Math.round((inputs / seconds) * 60);
    this.context.stdout.write(
      `${properties.length} properties, seeds ${this.seed} to ${seed - 1}, ${inputs} inputs (${inputsPerMinute} a minute), ${failures} failures\n`,
    );
    return failures === 0 ? 0 : 1;
  }

  #isOver(startedAt: number): boolean {
    return performance.now() - startedAt >= this.seconds * MILLISECONDS_PER_SECOND;
  }

  async #check({ name, build }: FuzzProperty, seed: number): Promise<fc.RunDetails<unknown>> {
    const replay = this.counterexample === undefined ? {} : { path: this.counterexample };
    const details = await fc.check(build(), { seed, numRuns: this.runs, ...replay });
    if (details.failed) {
      this.context.stdout.write(`${name}, seed ${seed}:\n${fc.defaultReportMessage(details) ?? ''}\n`);
    }
    return details;
  }
}

const cli = new Cli({ binaryLabel: 'Property-based suite', binaryName: 'fuzz' });
cli.register(FuzzCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2), Cli.defaultContext);
