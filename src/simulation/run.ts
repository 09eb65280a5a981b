/**
 * Runs one scenario with one seed.
 */
import { routingConfigurationOf, getSystem, type SystemDescription } from '../emulator/systems.js';
import type { Milliseconds } from '../core/identifiers.js';
import type { SafetyRules } from '../core/safety-rules.js';
import { injectFault, type FaultKind } from './faults.js';
import type { Violation } from './history.js';
import { createTwoSidedWorld, startHandOvers } from './two-sides.js';
import { startWorkload } from './workload.js';
import { World } from './world.js';

const FAULTS_FROM: Milliseconds = 5_000;
const FAULTS_UNTIL: Milliseconds = 14_000;
/**
 * All faults have ended and their effects are repaired by this time. From here on no unit may be unavailable
 * for longer than `MAX_RECOVERY_TIME`.
 */
const FAULT_FREE_FROM: Milliseconds = 20_000;
const FAULT_FREE_UNTIL: Milliseconds = 34_000;
const MAX_RECOVERY_TIME: Milliseconds = 2_000;
const REQUESTS_PER_SECOND = 60;
const DAEMON_COUNT = 5;
const MAX_FAULTS_PER_KIND = 2;
const DAEMON_CRASH_FAULTS: ReadonlySet<FaultKind> = new Set([
  'daemon-crash',
  'leader-crash',
  'planned-stop',
  'total-restart',
]);
/**
 * A second daemon crash before the first is repaired could take down more than a minority of the replicas,
 * which the guarantees do not cover.
 */
const MAX_DAEMON_CRASHES_PER_RUN = 1;

/** A named set of faults to inject. */
export interface Scenario {
  readonly name: string;
  /** Simulates two sides that continuously hand units over to each other. */
  readonly twoSides?: boolean;
  readonly faults: readonly FaultKind[];
}

/** The result of a run. */
export interface RunResult {
  readonly seed: number;
  readonly scenario: string;
  readonly events: number;
  readonly violations: readonly Violation[];
  /** Longest time for which any unit was unavailable. */
  readonly longestOutage: Milliseconds;
  readonly ownerChanges: number;
  readonly calls: {
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly broken: number;
  };
  readonly timeline: readonly string[];
}

/** Options of a run. */
export interface RunOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly system?: string;
  readonly rules?: SafetyRules;
  readonly keepTimeline?: boolean;
}

/** Assigns daemons to zones in round-robin order. */
export function assignZones(zones: readonly string[], daemons: number): string[] {
  return Array.from({ length: daemons }, (_, index) => zones[index % zones.length] ?? '');
}

/** Creates a simulated system whose daemons (five by default) are spread over its zones. */
export function createWorld(
  system: SystemDescription,
  options: Omit<RunOptions, 'scenario' | 'system'>,
  daemons = DAEMON_COUNT,
): World {
  const configuration = routingConfigurationOf(system, (position) => `127.0.0.1:${20_000 + position}`);
  return new World({
    seed: options.seed,
    sides: [{ name: system.name, configuration, daemonZones: assignZones(system.zones, daemons) }],
    zoneDelay: system.zoneDelayMilliseconds,
    ...(options.rules === undefined ? {} : { rules: options.rules }),
    ...(options.keepTimeline === undefined ? {} : { keepTimeline: options.keepTimeline }),
  });
}

function scheduleFaults(world: World, scenario: Scenario): void {
  const { random, scheduler } = world;
  let crashes = 0;
  for (const kind of scenario.faults) {
    const isCrash = DAEMON_CRASH_FAULTS.has(kind);
    const drawnCount = 1 + random.integerBelow(MAX_FAULTS_PER_KIND);
    const count = isCrash ? Math.min(drawnCount, MAX_DAEMON_CRASHES_PER_RUN - crashes) : drawnCount;
    crashes += isCrash ? Math.max(0, count) : 0;
    for (let index = 0; index < count; index += 1) {
      const at = FAULTS_FROM + random.fraction() * (FAULTS_UNTIL - FAULTS_FROM - 4_000);
      const duration = 200 + random.fraction() * 3_800;
      scheduler.after(at, () => injectFault(world, kind, duration));
    }
  }
}

function checkFinalState(world: World): void {
  const storeVersionOf = (side: string): number => world.stores.get(side)?.model.read('routing').version ?? 0;
  world.configurationChecker.checkFinalState(world.daemons, storeVersionOf, world.now);
  const longest = world.availability.outages().at(-1) ?? 0;
  if (longest > MAX_RECOVERY_TIME) {
    const detail = `a unit was unavailable for ${longest} ms after all faults had ended`;
    world.history.recordViolation('served-again-in-time', world.now, detail);
  }
  const lateCalls = [...world.history.calls.values()].filter((call) => call.startedAt > world.now - 3_000);
  const failed = lateCalls.filter((call) => call.outcome !== 'answered').length;
  if (failed * 20 > lateCalls.length) {
    const detail = `${failed} of the last ${lateCalls.length} requests got no response from a server`;
    world.history.recordViolation('whole-own-answer', world.now, detail);
  }
}

/** Runs a scenario. The result is deterministic: the same options give the same result. */
export function runScenario(options: RunOptions): RunResult {
  const system = getSystem(options.system);
  const world =
    options.scenario.twoSides === true ? createTwoSidedWorld(options) : createWorld(system, options);
  const configuration = routingConfigurationOf(system, (position) => `127.0.0.1:${20_000 + position}`);
  startWorkload(world, configuration, REQUESTS_PER_SECOND, FAULT_FREE_UNTIL - 1_000);
  scheduleFaults(world, options.scenario);
  if (options.scenario.twoSides === true) {
    startHandOvers(world, FAULTS_UNTIL);
  }
  world.scheduler.runUntil(FAULTS_FROM);
  world.availability.reset();
  world.scheduler.runUntil(FAULT_FREE_FROM);
  const longestOutage = world.availability.outages().at(-1) ?? 0;
  const { ownerChanges } = world.availability;
  world.availability.reset();
  world.scheduler.runUntil(FAULT_FREE_UNTIL);
  checkFinalState(world);
  const count = (outcome: string): number =>
    [...world.history.calls.values()].filter((call) => call.outcome === outcome).length;
  return {
    seed: options.seed,
    scenario: options.scenario.name,
    events: world.scheduler.executed,
    violations: world.history.violations,
    longestOutage,
    ownerChanges,
    calls: {
      answered: count('answered'),
      notRun: count('not-run'),
      unknown: count('unknown'),
      broken: count('broken'),
    },
    timeline: world.history.timeline,
  };
}
