/** The troubles of one run, drawn from a seed: in series and overlapping. */
import { SeededRandom } from '../../src/core/random.js';

/** One thing that happens. `lasts` is in milliseconds; daemons and servers by number. */
export type Trouble =
  | { readonly kind: 'change'; readonly count: number }
  | { readonly kind: 'storeSilent' | 'storeBusy'; readonly lasts: number }
  | { readonly kind: 'muteStore' }
  | { readonly kind: 'kill' | 'stop' | 'pause'; readonly daemons: readonly number[]; readonly lasts: number }
  | { readonly kind: 'drain' | 'replace'; readonly server: number }
  | { readonly kind: 'evacuate'; readonly zone: number; readonly lasts: number };

export interface PlannedTrouble {
  /** Milliseconds after the daemons are settled. */
  readonly at: number;
  readonly trouble: Trouble;
}

const LONGEST_OUTAGE = 6_000;
const SHORTEST_OUTAGE = 500;
const LONGEST_RESTART = 1_000;
const LONGEST_PAUSE = 3_000;
const LONGEST_EVACUATION = 8_000;
const LONGEST_GAP = 2_500;

/** Draws the troubles of a run: changes all the time, and a trouble every second or two. */
export function drawSchedule(
  seed: number,
  length: number,
  daemons: number,
  servers: number,
): PlannedTrouble[] {
  const random = new SeededRandom(seed);
  const upTo = (limit: number): number => Math.floor(random.fraction() * limit);
  const some = (): number[] => {
    const share = 0.2 + 0.6 * random.fraction();
    return Array.from({ length: daemons }, (_, index) => index).filter(() => random.fraction() < share);
  };
  const outage = (): number => SHORTEST_OUTAGE + upTo(LONGEST_OUTAGE - SHORTEST_OUTAGE);
  const draws: (() => Trouble)[] = [
    () => ({ kind: 'change', count: 5 }),
    () => ({ kind: 'storeSilent', lasts: outage() }),
    () => ({ kind: 'storeSilent', lasts: outage() }),
    () => ({ kind: 'storeBusy', lasts: outage() }),
    () => ({ kind: 'muteStore' }),
    () => ({ kind: 'kill', daemons: some(), lasts: upTo(LONGEST_RESTART) }),
    () => ({ kind: 'kill', daemons: [upTo(daemons)], lasts: upTo(LONGEST_RESTART) }),
    () => ({ kind: 'stop', daemons: [upTo(daemons)], lasts: upTo(LONGEST_RESTART) }),
    () => ({ kind: 'stop', daemons: some(), lasts: upTo(LONGEST_RESTART) }),
    () => ({ kind: 'pause', daemons: some(), lasts: upTo(LONGEST_PAUSE) }),
    () => ({ kind: 'drain', server: upTo(servers) }),
    () => ({ kind: 'replace', server: upTo(servers) }),
    () => ({ kind: 'evacuate', zone: upTo(3), lasts: upTo(LONGEST_EVACUATION) }),
  ];
  const planned: PlannedTrouble[] = [];
  for (let at = 0; at < length; at += upTo(LONGEST_GAP)) {
    const draw = draws[upTo(draws.length)] as () => Trouble;
    planned.push({ at, trouble: draw() });
  }
  for (let at = 0; at < length; at += 300 + upTo(2 * LONGEST_GAP)) {
    planned.push({ at, trouble: { kind: 'change', count: 1 } });
  }
  return planned.sort((left, right) => left.at - right.at);
}
