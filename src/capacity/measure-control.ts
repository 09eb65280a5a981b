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
const MICROSECONDS_PER_MILLISECOND = 1_000;
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

/** Processor time within one interval, in milliseconds. */
interface IntervalTimes {
  readonly leader: number;
  readonly follower: number;
}

/** Processor time that an action takes, in milliseconds. */
function timed(action: () => void): number {
  const startedAt = process.cpuUsage();
  action();
  const { user, system } = process.cpuUsage(startedAt);
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/** One interval between two reports of a follower, so that what is timed is long against the clock. */
function runInterval(
  world: PromptWorld,
  follower: RouterState,
  reports: readonly Uint8Array[],
): IntervalTimes {
  const ticks = REPORT_INTERVAL / TICK;
  const startedAt = world.now;
  const leader = timed(() => {
    for (let tick = 0; tick < ticks; tick += 1) {
      world.now = startedAt + tick * TICK;
      reports.forEach((report, index) =>
        index % ticks === tick ? world.report(index + 1, report) : undefined,
      );
      world.dispatch({ kind: 'tick' });
    }
  });
  const broadcasts = world.broadcasts.splice(0);
  const followerTime = timed(() => {
    for (const message of broadcasts) {
      reduce(follower, world.now, { kind: 'peerMessage', link: 0, message });
    }
    for (let tick = 0; tick < ticks; tick += 1) {
      reduce(follower, startedAt + tick * TICK, { kind: 'tick' });
    }
  });
  world.now = startedAt + REPORT_INTERVAL;
  return { leader, follower: followerTime };
}

/** Runs a shape and measures it after it has settled. */
export function measureControl(shape: Shape): ControlCost {
  const world = new PromptWorld(shape.daemons - 1, shape.servers);
  const follower = createDaemon(2, shape.servers);
  const random = new SeededRandom(1);
  const times = { leader: 0, follower: 0 };
  while (world.now < WARM_UP + MEASURED) {
    if (world.now === WARM_UP) {
      Object.assign(times, { leader: 0, follower: 0 });
      world.resetCounts();
    }
    const reports = Array.from({ length: shape.daemons - 1 }, (_, index) =>
      encodePeerMessage(makeReport(shape, index, random, world.leader)),
    );
    const interval = runInterval(world, follower, reports);
    times.leader += interval.leader;
    times.follower += interval.follower;
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
