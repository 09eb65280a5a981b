/** The calls that each daemon gets throughout a soak, in turn on all of its routes. */
import type { Caller } from './caller.js';
import type { ConfigurationProbes } from './configuration-probes.js';
import { pause } from './soak-clock.js';

const CALL_INTERVAL_MILLISECONDS = 60;
/** Factor that spreads consecutive calls over the keys. */
const KEY_STEP = 7_919;

/** Calls one daemon until `isFinished`, without waiting for answers. */
export async function callContinuously(
  caller: Caller,
  probes: ConfigurationProbes,
  isFinished: () => boolean,
): Promise<void> {
  for (let turn = 1; !isFinished(); turn += 1) {
    void callOnce(caller, probes, turn);
    await pause(CALL_INTERVAL_MILLISECONDS);
  }
}

async function callOnce(caller: Caller, probes: ConfigurationProbes, turn: number): Promise<void> {
  switch (turn % 4) {
    case 0:
      await caller.call('/once/');
      return;
    case 1:
      await caller.call('/keyed/', turn * KEY_STEP);
      return;
    default:
      await probes.probe(caller, turn);
  }
}
