/** Measures what control costs a leader and a follower, by virtual time against processor time. */
import { SeededRandom } from '../core/random.js';
import { LAST_KEY } from '../router/model/identifiers.js';
import type { Report } from '../router/peers/messages.js';
import { reduce } from '../router/reducer.js';
import type { RouterState } from '../router/router-state.js';
import { encodePeerMessage } from '../router-runtime/peer-codec.js';
import { createDaemon, PromptWorld, SERVICE } from './prompt-world.js';
import type { ControlCost, Shape } from './shape.js';

const TICK = 20;
const REPORT_INTERVAL = 500;
const WARM_UP = 12_000;
const MEASURED = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Half of the requests ask for keys of a busy range, as the users' do. */
const BUSY_SHARE = 0.5;
const BUSY_KEYS = 2_000;
/** Keys that a daemon puts into one report. */
const MOST_KEYS = 2_000;

function drawKey(random: SeededRandom): number {
  const busy = random.fraction() < BUSY_SHARE;
  return busy ? 20_000 + random.below(BUSY_KEYS) : random.below(LAST_KEY + 1);
}

function makeReport(shape: Shape, follower: number, random: SeededRandom, leader: RouterState): Report {
  const requests = (shape.keyedRequests * REPORT_INTERVAL) / MILLISECONDS_PER_SECOND;
  const count = Math.min(MOST_KEYS, Math.round(requests));
  return {
    kind: 'report',
    daemon: `d${follower + 2}`,
    life: follower + 2,
    configurationVersion: 1,
    serversRevision: 1,
    ownershipSequence: leader.view.sequence,
    samples: [{ service: SERVICE, keys: Array.from({ length: count }, () => drawKey(random)) }],
    times: [],
  };
}

/** A follower's report on its link. */
interface ReportBytes {
  readonly link: number;
  readonly bytes: Uint8Array;
}

/** Time spent within one tick, in milliseconds. */
interface TickTimes {
  readonly leader: number;
  readonly follower: number;
}

/** How long an action takes, in milliseconds. Nothing else runs on this thread. */
function timed(action: () => void): number {
  const startedAt = performance.now();
  action();
  return performance.now() - startedAt;
}

/** The reports that come in with one tick, as bytes: each follower tells what it knows by then. */
function reportsAt(shape: Shape, tick: number, random: SeededRandom, leader: RouterState): ReportBytes[] {
  const slots = REPORT_INTERVAL / TICK;
  const reports: ReportBytes[] = [];
  for (let follower = tick % slots; follower < shape.daemons - 1; follower += slots) {
    reports.push({
      link: follower + 1,
      bytes: encodePeerMessage(makeReport(shape, follower, random, leader)),
    });
  }
  return reports;
}

/** One tick of the leader and of a follower. */
function runTick(world: PromptWorld, follower: RouterState, reports: readonly ReportBytes[]): TickTimes {
  const leader = timed(() => {
    reports.forEach(({ link, bytes }) => world.report(link, bytes));
    world.dispatch({ kind: 'tick' });
  });
  const broadcasts = world.broadcasts.splice(0);
  const followerTime = timed(() => {
    for (const message of broadcasts) {
      reduce(follower, world.now, { kind: 'peerMessage', link: 0, message });
    }
    reduce(follower, world.now, { kind: 'tick' });
  });
  return { leader, follower: followerTime };
}

/** Runs a shape and measures it after it has settled. */
export function measureControl(shape: Shape): ControlCost {
  const world = new PromptWorld(shape.daemons - 1, shape.servers);
  const follower = createDaemon(2, shape.servers);
  const random = new SeededRandom(1);
  const times = { leader: 0, follower: 0 };
  for (let tick = 0; tick * TICK < WARM_UP + MEASURED; tick += 1) {
    world.now = tick * TICK;
    if (world.now === WARM_UP) {
      Object.assign(times, { leader: 0, follower: 0 });
      world.resetCounts();
    }
    const spent = runTick(world, follower, reportsAt(shape, tick, random, world.leader));
    times.leader += spent.leader;
    times.follower += spent.follower;
  }
  const seconds = MEASURED / MILLISECONDS_PER_SECOND;
  return {
    shape,
    units: world.leader.view.units.length,
    leaderMilliseconds: times.leader / seconds,
    followerMilliseconds: times.follower / seconds,
    leaderBytesSent: world.bytesSent / seconds,
    leaderBytesReceived: world.bytesReceived / seconds,
    serverCalls: world.serverCalls / seconds,
    storeWrites: world.storeWrites / seconds,
  };
}
