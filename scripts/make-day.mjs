// Prints a random test scenario (a `day`) for the users' test bench: a few faults and planned changes chosen by a seed, most of
// them concerning key ownership.
// Usage: node scripts/make-day.mjs SEED > day.toml
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const LATEST_START_SECONDS = 26;

/** Faults with the ranges and variants to choose from. Lengths are in seconds. */
const FAULTS = [
  {
    kind: 'srv_cut',
    share: [0.15, 0.35],
    length: [3, 10],
    how: ['', 'fronts', 'one_way', 'some', 'fronts reset', 'reset'],
  },
  {
    kind: 'core_cut',
    count: 1,
    length: [2, 7],
    how: ['leader', 'leader race', 'leader one_way', 'leader reset', 'leader refuse', 'near', 'all'],
  },
  { kind: 'node_cut', share: [0.1, 0.3], length: [2, 6], how: ['', 'all', 'leader', 'leader all', 'reset'] },
  { kind: 'node_freeze', on: 'core', count: 1, length: [1, 8], how: ['leader', ''] },
  {
    kind: 'node_kill',
    on: 'core',
    count: 1,
    length: [1, 4],
    how: ['leader', 'giver', 'power leader', 'leader race', 'leader hard'],
  },
  {
    kind: 'platform_down',
    share: [0.3, 0.8],
    length: [3, 7],
    how: ['nodes leader', 'nodes busy leader', 'nodes many', 'nodes reset leader'],
  },
  { kind: 'platform_down', length: [2, 6], how: ['silent', 'busy', 'reset'] },
  { kind: 'platform_lost', x: [0.2, 0.5], length: [3, 6], how: ['', 'late'] },
  { kind: 'platform_slow', x: [20, 60], length: [3, 6], how: [''] },
  { kind: 'applied_late', x: [0.2, 0.6], length: [3, 6], how: ['orders', 'grants', 'all'] },
  { kind: 'srv_crash', share: [0.1, 0.2], length: [2, 6], how: ['', 'dark', 'gone', 'dark gone'] },
  { kind: 'replace_with_reuse', share: [0.1, 0.3], how: ['', 'dark', 'drain'] },
  { kind: 'herd_kill', share: [0.4, 0.9], length: [1, 3], how: ['', 'power'] },
  { kind: 'hot_key', share: [0.2, 0.4], count: 60, length: [3, 5], how: [''] },
  { kind: 'reset_conns', share: [0.3, 1], x: [0.3, 1], how: [''] },
  { kind: 'lossy', x: [0.02, 0.06], length: [3, 6], how: [''] },
];
const PLANNED_CHANGES = [
  { kind: 'release', share: [0.2, 0.5], x: [1, 1], how: [''] },
  { kind: 'scale_in', share: [0.1, 0.2], how: ['', 'spot'] },
  { kind: 'scale_out', share: [0.15, 0.3], how: [''] },
  { kind: 'roll_term', share: [0.4, 1], x: [1, 1], how: ['', 'busy'] },
  { kind: 'config_change', how: ['route', 'weights', 'timeout'] },
];
const MAX_FAULTS = 6;
const MAX_PLANNED_CHANGES = 2;

const seed = Number(process.argv[2]);
if (!Number.isInteger(seed) || seed < 1) {
  process.stderr.write('usage: node scripts/make-day.mjs SEED (a positive integer)\n');
  process.exit(2);
}
const random = xoroshiro128plus(seed);
const randomBelow = (limit) => unsafeUniformIntDistribution(0, limit - 1, random);
const randomBetween = ([low, high]) => (low + ((high - low) * randomBelow(1_001)) / 1_000).toFixed(2);
const pick = (list) => list[randomBelow(list.length)];

function formatEntry(template) {
  const { kind, on, count, share, x, length, how } = template;
  const fields = [`at = ${randomBetween([2, LATEST_START_SECONDS])}`, `kind = "${kind}"`];
  if (on !== undefined) fields.push(`on = "${on}"`);
  if (count !== undefined) fields.push(`count = ${count}`);
  if (share !== undefined) fields.push(`share = ${randomBetween(share)}`);
  if (x !== undefined) fields.push(`x = ${randomBetween(x)}`);
  if (length !== undefined) fields.push(`for_s = ${randomBetween(length)}`);
  fields.push(`how = "${pick(how)}"`);
  return `  { ${fields.join(', ')} },`;
}

const faults = Array.from({ length: 3 + randomBelow(MAX_FAULTS - 2) }, () => formatEntry(pick(FAULTS)));
const plans = Array.from({ length: 1 + randomBelow(MAX_PLANNED_CHANGES) }, () =>
  formatEntry(pick(PLANNED_CHANGES)),
);
process.stdout.write(`# Made by scripts/make-day.mjs ${seed}.
[[day]]
name = "made-${seed}"
seed = ${seed}
plan = [
${plans.join('\n')}
]
faults = [
${faults.join('\n')}
]
`);
