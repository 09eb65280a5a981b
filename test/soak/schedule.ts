/** Draws the faults of one run from a seed. Faults follow each other and overlap. */
import { SeededRandom } from '../../src/core/random.js';

/** One fault, or one change of the configuration. `lasts` is in milliseconds; daemons and servers are given by index. */
export type Trouble =
  | { readonly kind: 'change'; readonly count: number }
  | { readonly kind: 'storeSilent' | 'storeBusy'; readonly lasts: number }
  | { readonly kind: 'muteStore' }
  | { readonly kind: 'kill' | 'stop' | 'pause'; readonly daemons: readonly number[]; readonly lasts: number }
  | { readonly kind: 'drain' | 'replace'; readonly server: number }
  | { readonly kind: 'evacuate'; readonly zone: number; readonly lasts: number };

export interface PlannedTrouble {
  /** Milliseconds after the daemons have settled. */
  readonly at: number;
  readonly fault: Trouble;
}

const LONGEST_OUTAGE = 6_000;
const SHORTEST_OUTAGE = 500;
const LONGEST_RESTART = 1_000;
const LONGEST_PAUSE = 3_000;
const LONGEST_EVACUATION = 8_000;
const LONGEST_GAP = 2_500;

/** Draws the faults of a run: configuration changes throughout, and a fault every second or two. */
export function drawSchedule(
  seed: number,
  length: number,
  daemons: number,
  servers: number,
): PlannedTrouble[] {
  const random = new SeededRandom(seed);
  const randomBelow = (limit: number): number => Math.floor(random.fraction() * limit);
  const someDaemons = (): number[] => {
    const share = 0.2 + 0.6 * random.fraction();
    return Array.from({ length: daemons }, (_, index) => index).filter(() => random.fraction() < share);
  };
  const outageLength = (): number => SHORTEST_OUTAGE + randomBelow(LONGEST_OUTAGE - SHORTEST_OUTAGE);
  const faultKinds: (() => Trouble)[] = [
    () => ({ kind: 'change', count: 5 }),
    () => ({ kind: 'storeSilent', lasts: outageLength() }),
    () => ({ kind: 'storeSilent', lasts: outageLength() }),
    () => ({ kind: 'storeBusy', lasts: outageLength() }),
    () => ({ kind: 'muteStore' }),
    () => ({ kind: 'kill', daemons: someDaemons(), lasts: randomBelow(LONGEST_RESTART) }),
    () => ({ kind: 'kill', daemons: [randomBelow(daemons)], lasts: randomBelow(LONGEST_RESTART) }),
    () => ({ kind: 'stop', daemons: [randomBelow(daemons)], lasts: randomBelow(LONGEST_RESTART) }),
    () => ({ kind: 'stop', daemons: someDaemons(), lasts: randomBelow(LONGEST_RESTART) }),
    () => ({ kind: 'pause', daemons: someDaemons(), lasts: randomBelow(LONGEST_PAUSE) }),
    () => ({ kind: 'drain', server: randomBelow(servers) }),
    () => ({ kind: 'replace', server: randomBelow(servers) }),
    () => ({ kind: 'evacuate', zone: randomBelow(3), lasts: randomBelow(LONGEST_EVACUATION) }),
  ];
  const planned: PlannedTrouble[] = [];
  for (let at = 0; at < length; at += randomBelow(LONGEST_GAP)) {
    const drawFault = faultKinds[randomBelow(faultKinds.length)] as () => Trouble;
    planned.push({ at, fault: drawFault() });
  }
  for (let at = 0; at < length; at += 300 + randomBelow(2 * LONGEST_GAP)) {
    planned.push({ at, fault: { kind: 'change', count: 1 } });
  }
  return planned.sort((left, right) => left.at - right.at);
}
