/** `fennelferry limits`: lists the servers with rate limits as known to each daemon, and the share of each daemon. */
import { Command, Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { AdminError } from '../errors.js';
import type { LimitOverview } from '../router/limits/limit-overview.js';
import { EXIT_OK, EXIT_UNREACHABLE } from './exit-codes.js';
import { formatRows } from './table-format.js';

const TIMEOUT_MILLISECONDS = 6_000;
const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_OK = 200;

async function fetchLimits(address: string): Promise<Result<LimitOverview[], AdminError>> {
  try {
    const answer = await request(`http://${address}/limits`, {
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    const body: unknown = await answer.body.json();
    return answer.statusCode === HTTP_OK
      ? ok(body as LimitOverview[])
      : err(new AdminError('read limits', address, `status ${answer.statusCode}`));
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new AdminError('read limits', address, detail));
  }
}

function formatSeconds(milliseconds: number): string {
  return `${(milliseconds / MILLISECONDS_PER_SECOND).toFixed(1)} s`;
}

function describeShares({ shares }: LimitOverview): string {
  if (shares === null) {
    return 'ask the leader';
  }
  return shares.map(({ daemon, permitsPerSecond }) => `${daemon} ${permitsPerSecond.toFixed(2)}`).join(', ');
}

export class LimitsCommand extends Command {
  static override paths = [['limits']];
  static override usage = Command.Usage({
    description: 'List the servers that announce rate limits, for how long, and the share of each daemon',
    details:
      'A share is the rate of permits granted to a daemon in the last seconds, in requests per second; only the leader knows it.',
    examples: [['Ask three daemons', 'fennelferry limits 10.0.0.1:7101 10.0.0.2:7101 10.0.0.3:7101']],
  });
  readonly addresses = Option.Rest({ name: 'operators-addresses', required: 1 });

  override async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    let exitCode = EXIT_OK;
    for (const address of this.addresses) {
      const limits = await fetchLimits(address);
      if (limits.isErr()) {
        stderr.write(`${limits.error.message}\n`);
        exitCode = EXIT_UNREACHABLE;
        continue;
      }
      stdout.write(`${address}: ${limits.value.length} servers with limits\n`);
      const rows = limits.value.map((limit) => ({
        server: limit.server,
        service: limit.service ?? '-',
        'requests/s': limit.limit,
        since: formatSeconds(limit.age),
        confirmed: `${formatSeconds(limit.confirmedAge)} ago`,
        places: limit.places,
        shares: describeShares(limit),
      }));
      stdout.write(rows.length === 0 ? '' : formatRows(rows));
    }
    return exitCode;
  }
}
