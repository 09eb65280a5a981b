/** A follower's periodic report to the leader: that it is there, what it knows, which keys were asked for. */
import { REPORT_INTERVAL } from '../ownership/ownership-timing.js';
import type { RouterContext } from '../router-context.js';
import type { KeySample } from './messages.js';

/** Keys of one service in one report. */
const MOST_KEYS = 2_000;

/** Sends the report when it is due. */
export function tickReports(context: RouterContext): void {
  const { state, now } = context;
  if (now < state.election.nextReportAt) {
    return;
  }
  state.election.nextReportAt = now + REPORT_INTERVAL;
  const samples: KeySample[] = [...state.keySamples].map(([service, keys]) => ({
    service,
    keys: keys.slice(0, MOST_KEYS),
  }));
  state.keySamples.clear();
  context.emit({
    kind: 'sendToLeader',
    message: {
      kind: 'report',
      daemon: state.identity.daemon,
      life: state.identity.life,
      configurationVersion: state.configuration?.version ?? 0,
      serversRevision: state.serversRevision ?? 0,
      samples,
    },
  });
}
