/**
 * `fennelferry load`: sends open-loop load to daemons, with the routes of a user's system.
 */
import { Command, Option } from 'clipanion';
import { isNumber } from 'typanion';
import { routingConfigurationOf, findSystem, SYSTEMS } from '../emulator/systems.js';
import { LoadRun, type LoadResults } from '../load/load-run.js';
import { EXIT_BAD_INPUT, EXIT_OK } from './exit-codes.js';
import { formatRows } from './table-format.js';

const MAX_REQUESTS_PER_SECOND = 20_000;
const MAX_DURATION_SECONDS = 600;

function isLoopback(address: string): boolean {
  return /^(127\.\d+\.\d+\.\d+|\[::1\]):\d+$/.test(address);
}

/** Sends load and prints latencies, outcomes and balance. */
export class LoadCommand extends Command {
  static override paths = [['load']];
  static override usage = Command.Usage({
    description: 'Send load to daemons on this machine',
    details:
      'Requests are sent at the rate without waiting for responses. Latency is measured from the time a request was due; up to 5 ms of it come from the 5 ms steps in which this tool sends.',
    examples: [
      [
        '500 requests a second for 10 s',
        'fennelferry load --targets 127.0.0.1:7001,127.0.0.1:7002 --rate 500 --seconds 10',
      ],
    ],
  });
  readonly targets = Option.String('--targets', '127.0.0.1:7001', {
    description: 'Comma-separated daemon addresses; loopback only',
  });
  readonly system = Option.String('--system', 'klang-valley', {
    description: `System whose routes are requested: ${SYSTEMS.map((system) => system.name).join(' or ')}`,
  });
  readonly rate = Option.String('--rate', '200', {
    validator: isNumber(),
    description: 'Requests per second',
  });
  readonly seconds = Option.String('--seconds', '10', {
    validator: isNumber(),
    description: 'Duration of the run in seconds',
  });
  readonly keys = Option.String('--keys', '1000', { validator: isNumber(), description: 'Number of keys' });
  readonly zipfExponent = Option.String('--zipf', '1', {
    validator: isNumber(),
    description: 'Exponent of the Zipf distribution of keys',
  });
  readonly hotKeySeconds = Option.String('--hot-seconds', '0', {
    validator: isNumber(),
    description: 'Seconds between changes of the hot keys; 0: never',
  });
  readonly connections = Option.String('--connections', '64', {
    validator: isNumber(),
    description: 'Connections to each daemon',
  });
  readonly seed = Option.String('--seed', '1', {
    validator: isNumber(),
    description: 'Seed of the random number generator',
  });
  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' });

  async execute(): Promise<number> {
    const flagError = this.#flagError();
    const system = findSystem(this.system);
    if (flagError !== null || system === undefined) {
      this.context.stderr.write(`${flagError ?? `--system: found ${this.system}`}\n`);
      return EXIT_BAD_INPUT;
    }
    const { routes } = routingConfigurationOf(system, () => '127.0.0.1:1');
    const results = await new LoadRun({
      targets: this.targets.split(','),
      routes,
      requestsPerSecond: this.rate,
      seconds: this.seconds,
      keys: this.keys,
      zipfExponent: this.zipfExponent,
      hotKeySeconds: this.hotKeySeconds,
      connections: this.connections,
      seed: this.seed,
    }).run();
    this.context.stdout.write(this.json ? `${JSON.stringify(results)}\n` : this.#format(results));
    return EXIT_OK;
  }

  #flagError(): string | null {
    const nonLoopback = this.targets.split(',').filter((target) => !isLoopback(target));
    if (nonLoopback.length > 0) {
      return `--targets: found ${nonLoopback.join(', ')}; allowed: loopback addresses with a port`;
    }
    if (!(this.rate > 0 && this.rate <= MAX_REQUESTS_PER_SECOND)) {
      return `--rate: found ${this.rate}; allowed: up to ${MAX_REQUESTS_PER_SECOND}`;
    }
    if (!(this.seconds > 0 && this.seconds <= MAX_DURATION_SECONDS)) {
      return `--seconds: found ${this.seconds}; allowed: up to ${MAX_DURATION_SECONDS}`;
    }
    return this.keys >= 1 ? null : `--keys: found ${this.keys}; allowed: at least 1`;
  }

  #format(results: LoadResults): string {
    const rows = Object.entries(results.classes).map(([name, entry]) => ({
      class: name,
      requests: entry.requests,
      answered: entry.outcomes['answered'] ?? 0,
      notRun: entry.outcomes['not-run'] ?? 0,
      unknown: entry.outcomes['unknown'] ?? 0,
      broken: entry.outcomes['broken'] ?? 0,
      p50: entry.p50.toFixed(2),
      p99: entry.p99.toFixed(2),
      p999: entry.p999.toFixed(2),
      longest: entry.longest.toFixed(2),
    }));
    const imbalance = Object.entries(results.imbalance).map(
      ([group, value]) => `${group} ${value.toFixed(2)}`,
    );
    return `${formatRows(rows)}latencies in ms; requests of the busiest server relative to the group's mean: ${imbalance.join(', ')}; longest time without an answer for a hot key: ${Math.round(results.longestWithoutAnswer)} ms\n`;
  }
}
