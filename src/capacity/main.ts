/**
 * `npm run capacity`: measures hollow daemons at several sizes and rates, and the cost of a request, and
 * writes docs/CAPACITY.md with the raw figures beside it as docs/capacity.json.
 */
import { writeFileSync } from 'node:fs';
import { measureLoss, LOSSES, type LossFigures } from '../simulation/figures.js';
import { measureShape, type Measurement } from './measure.js';
import type { Shape } from './protocol.js';
import { writeReport } from './report.js';
import { measureRequestCost, type RequestCost } from './request-cost.js';

const LOSS_SEEDS = 10;
const CALM = { configurationChangesPerSecond: 0, movesPerSecond: 0, timeScale: 1 };

/** Growing numbers of daemons, with the same number of shards and servers for each daemon. */
const SIZES: readonly Shape[] = [
  { ...CALM, daemons: 10, shards: 4, units: 8_192, servers: 20 },
  { ...CALM, daemons: 40, shards: 16, units: 8_192, servers: 80 },
  { ...CALM, daemons: 160, shards: 64, units: 8_192, servers: 320 },
  // One machine of 8 cores is too slow for 570 in real time: their clocks run six times slower.
  { ...CALM, daemons: 570, shards: 256, units: 8_192, servers: 1_140, timeScale: 6 },
];

/** Growing numbers of units. */
const UNITS: readonly Shape[] = [1_024, 65_536].map((units) => ({
  ...CALM,
  daemons: 20,
  shards: 8,
  units,
  servers: 40,
}));

/** Rates of change. */
const RATES: readonly Shape[] = [
  { ...CALM, daemons: 40, shards: 16, units: 8_192, servers: 80, configurationChangesPerSecond: 1 },
  { ...CALM, daemons: 40, shards: 16, units: 8_192, servers: 80, movesPerSecond: 8 },
];

/** Everything that was measured. */
export interface CapacityFigures {
  readonly sizes: readonly Measurement[];
  readonly units: readonly Measurement[];
  readonly rates: readonly Measurement[];
  readonly losses: readonly LossFigures[];
  readonly request: RequestCost;
}

async function measureAll(shapes: readonly Shape[]): Promise<Measurement[]> {
  const measured: Measurement[] = [];
  for (const shape of shapes) {
    process.stdout.write(`measuring ${JSON.stringify(shape)}\n`);
    measured.push(await measureShape(shape));
  }
  return measured;
}

const begin = Date.now();
const request = await measureRequestCost();
const figures: CapacityFigures = {
  request,
  sizes: await measureAll(SIZES),
  units: await measureAll(UNITS),
  rates: await measureAll(RATES),
  losses: LOSSES.map((loss) => measureLoss(loss, LOSS_SEEDS)),
};
writeFileSync('docs/capacity.json', `${JSON.stringify(figures, null, 1)}\n`);
writeReport('docs/CAPACITY.md', figures, Date.now() - begin);
process.stdout.write(`docs/CAPACITY.md written after ${Math.round((Date.now() - begin) / 1_000)} s\n`);
process.exit(0);
