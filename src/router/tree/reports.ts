/** A daemon's periodic report to its parent: that it is there, what it knows, what callers asked for at and below it. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import { REPORT_INTERVAL } from '../ownership/ownership-timing.js';
import type { KeySample, ServerTimes } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { KeyTally } from './key-tally.js';
import { daemonsBelow } from './tree-state.js';

/** A report that says of load that is too much comes this soon after the one before. */
const HASTENED_INTERVAL: Milliseconds = 150;
/** The same for a relay, so that word of load takes about 200 ms to the leader. */
const HASTENED_RELAY_INTERVAL: Milliseconds = 50;
/** A relay passes on what it hears this soon: its children's reports have waited already. */
const RELAY_REPORT_INTERVAL: Milliseconds = 250;
/** Keys of one service in one report; the ones asked for most. */
const MOST_KEYS = 2_000;

/** Adds keys to the tally of a service. */
export function tallyKeys(context: RouterContext, { service, keys, counts }: KeySample): void {
  const { keyTallies } = context.state;
  const tally: KeyTally = keyTallies.get(service) ?? new Map();
  keys.forEach((key, index) => tally.set(key, (tally.get(key) ?? 0) + (counts[index] ?? 1)));
  keyTallies.set(service, tally);
}

/** How long servers of keyed services took, here and below: the leader places keys by it. */
export function takeTimes(context: RouterContext): ServerTimes[] {
  const { servers, configuration, tree } = context.state;
  const times: ServerTimes[] = tree.times;
  tree.times = [];
  for (const { server, load } of servers.values()) {
    const { requests, total } = load.unreported;
    if (total > 0) {
      load.unreported.requests = 0;
      load.unreported.total = 0;
      if (configuration?.services.get(server.service)?.keyed === true) {
        times.push({ server: server.id, requests, total });
      }
    }
  }
  return times;
}

function toSample([service, tally]: [ServiceName, KeyTally]): KeySample {
  let entries = [...tally];
  if (entries.length > MOST_KEYS) {
    entries = entries.sort(([, left], [, right]) => right - left).slice(0, MOST_KEYS);
  }
  return { service, keys: entries.map(([key]) => key), counts: entries.map(([, count]) => count) };
}

/** Takes the keys that were asked for since they were last taken. */
export function takeKeySamples(context: RouterContext): KeySample[] {
  const samples = [...context.state.keyTallies].map(toSample);
  context.state.keyTallies.clear();
  return samples;
}

/** The parent should hear soon: news were missed, for example. */
export function hastenReport({ state }: RouterContext): void {
  const { election, tree } = state;
  const interval = tree.children.size > 0 ? HASTENED_RELAY_INTERVAL : HASTENED_INTERVAL;
  election.nextReportAt = Math.min(election.nextReportAt, election.lastReportAt + interval);
}

/** An owner of keys has too much to do: the leader should plan soon. */
export function noteOverload(context: RouterContext): void {
  context.state.tree.overloaded = true;
  hastenReport(context);
}

/** A link to a parent is up: it learns at once who has come. */
export function reportAtOnce(context: RouterContext): void {
  context.state.election.nextReportAt = context.now;
}

/** Sends the report when it is due. */
export function tickReports(context: RouterContext): void {
  const { state, now } = context;
  const { election, tree, identity } = state;
  if (now < election.nextReportAt) {
    return;
  }
  election.lastReportAt = now;
  election.nextReportAt = now + (tree.children.size > 0 ? RELAY_REPORT_INTERVAL : REPORT_INTERVAL);
  const { started, overloaded, rests } = tree;
  tree.started = [];
  tree.rests = [];
  tree.overloaded = false;
  context.emit({
    kind: 'sendToParent',
    message: {
      kind: 'report',
      daemon: identity.daemon,
      life: identity.life,
      address: identity.peerAddress,
      zone: identity.zone,
      configurationVersion: state.configuration?.version ?? 0,
      serversRevision: state.newestServerRevision,
      serversPosition: state.serversRevision ?? 0,
      ownershipSequence: state.view.term === election.leader?.term ? state.view.sequence : 0,
      daemons: 1 + daemonsBelow(state.tree, now),
      started,
      overloaded,
      failedRelay: tree.failedRelay,
      evacuations: state.evacuations.statement(),
      samples: takeKeySamples(context),
      times: takeTimes(context),
      rests,
    },
  });
}
