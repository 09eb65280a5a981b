/** The page docs/CAPACITY.md, from measured figures. */
import type { ControlCost } from './shape.js';

/** The users' bounds for control, at each daemon. */
const BOUND_MILLISECONDS = 33;
const BOUND_BYTES = 3_000;
const STORE_WRITES_OF_ALL = 400;

const HEAD = `# Capacity

Written by \`npm run capacity\`; the text stands in src/capacity/report.ts. It measures the router core (src/router), which
runs on the users' platform: one leader with everything around it answering at once, and one follower. The cost of
sockets is not in these figures; that of whole daemons stands in docs/PROOF.md, from days that the users' bench played.

The aim: 570 daemons, 360 million keys in use, 6.5 million requests a second; for control a daemon spends at most 3.3% of a
core (33 ms a second), 64 MB and 3 KB a second.
`;

function row(cells: readonly (string | number)[]): string {
  return `| ${cells.join(' | ')} |`;
}

function costRow(cost: ControlCost): string {
  const { shape, units } = cost;
  return row([
    shape.daemons,
    shape.servers,
    shape.keyedRequests,
    units,
    cost.leaderMilliseconds.toFixed(1),
    cost.followerMilliseconds.toFixed(2),
    Math.round(cost.leaderBytesSent),
    Math.round(cost.leaderBytesReceived),
    cost.serverCalls.toFixed(0),
    cost.storeWrites.toFixed(1),
  ]);
}

function verdict(value: number, bound: number): string {
  return value <= bound ? 'holds' : `does not hold: ${(value / bound).toFixed(1)} times the bound`;
}

function slope(from: ControlCost, to: ControlCost, read: (cost: ControlCost) => number): string {
  return ((read(to) - read(from)) / (to.shape.daemons - from.shape.daemons)).toFixed(2);
}

/** The whole page; sizes in growing order, the last one is the target. */
export function capacityPage(sizes: readonly ControlCost[], loads: readonly ControlCost[]): string {
  const first = sizes[0] as ControlCost;
  const target = sizes.at(-1) as ControlCost;
  const busiest = loads.at(-1) as ControlCost;
  const columns = [
    'daemons',
    'keyed servers',
    'keyed requests/s a daemon',
    'units',
    'leader ms/s',
    'follower ms/s',
    'leader sends B/s',
    'leader receives B/s',
    'calls to servers/s',
    'store writes/s',
  ];
  const table = (costs: readonly ControlCost[]): string[] => [
    row(columns),
    row(columns.map(() => '---')),
    ...costs.map(costRow),
  ];
  const verdicts = [
    row(['row', 'at 570 daemons', 'verdict', 'mechanism, or what is missing']),
    row(['---', '---', '---', '---']),
    row([
      "a follower's processor time",
      `${target.followerMilliseconds.toFixed(2)} ms/s`,
      verdict(target.followerMilliseconds, BOUND_MILLISECONDS),
      'ownership is told as changes',
    ]),
    row([
      "the leader's processor time",
      `${target.leaderMilliseconds.toFixed(1)} ms/s`,
      verdict(target.leaderMilliseconds, BOUND_MILLISECONDS),
      'shards of about a hundred servers, each with a leader of its own: not built',
    ]),
    row([
      "the leader's bytes",
      `${Math.round(target.leaderBytesSent + target.leaderBytesReceived)} B/s`,
      verdict(target.leaderBytesSent + target.leaderBytesReceived, BOUND_BYTES),
      'a tree in place of the star around the leader: not built',
    ]),
    row([
      'keys told in reports',
      `${Math.round(busiest.leaderBytesReceived)} B/s received at ${busiest.shape.keyedRequests} keyed requests/s a daemon and ${busiest.shape.daemons} daemons`,
      verdict(busiest.leaderBytesReceived, BOUND_BYTES),
      'every request is told, up to 2,000 a report: weighted samples are not built',
    ]),
    row([
      'writes to the store',
      `${target.storeWrites.toFixed(1)}/s of all daemons`,
      verdict(target.storeWrites, STORE_WRITES_OF_ALL),
      'one confirmation a second, one write a plan',
    ]),
  ];
  const slopes =
    `For each further daemon (and two keyed servers): ${slope(first, target, (cost) => cost.leaderMilliseconds)} ms/s and ` +
    `${slope(first, target, (cost) => cost.leaderBytesSent + cost.leaderBytesReceived)} B/s at the leader, ` +
    `${slope(first, target, (cost) => cost.serverCalls)} calls to servers a second.`;
  return [
    HEAD,
    '## Sizes\n',
    ...table(sizes),
    `\n${slopes}\n`,
    '## Load on keys\n',
    ...table(loads),
    '\n## At the target\n',
    ...verdicts,
    '',
  ].join('\n');
}
