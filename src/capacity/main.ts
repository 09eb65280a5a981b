/** `npm run capacity`: measures the cost of control at several sizes and loads, and writes docs/CAPACITY.md. */
import { writeFileSync } from 'node:fs';
import { measureControl } from './measure-control.js';
import { capacityPage } from './report.js';
import type { Shape } from './shape.js';

const PAGE = 'docs/CAPACITY.md';
/** Growing numbers of daemons, with two keyed servers each and the load of the users' sites. */
const SIZES: readonly Shape[] = [10, 40, 160, 570].map((daemons) => ({
  daemons,
  servers: 2 * daemons,
  keyedRequests: 20,
}));
/** Growing loads on keys. */
const LOADS: readonly Shape[] = [20, 200, 2_000].map((keyedRequests) => ({
  daemons: 40,
  servers: 80,
  keyedRequests,
}));

writeFileSync(PAGE, capacityPage(SIZES.map(measureControl), LOADS.map(measureControl)));
