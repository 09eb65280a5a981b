/** Messages between daemons for tests that care about a few of their fields. */
import type { Heartbeat } from '../../../src/router/peers/messages.js';
import { toAddress } from '../../support/addresses.js';

const HEARTBEAT: Heartbeat = {
  kind: 'heartbeat',
  term: 3,
  leader: 'd1',
  leaderLife: 8,
  leaderAddress: toAddress('10.0.0.1:70'),
  heardAge: 0,
  confirmationAge: 0,
  leaderRevision: 0,
  newsAge: 0,
  evacuationsAge: 0,
  reportSentAt: 0,
  reportHeld: 0,
  daemons: 1,
  pathlessDaemons: 0,
  serviceLoads: [],
  proxies: [],
  watchers: [],
  configurationVersion: 0,
  serversRevision: 0,
  serversPosition: 0,
  configurationRevision: 0,
  evacuations: null,
};

/** Returns a heartbeat of a leader with the given fields. */
export function heartbeatWith(fields: Partial<Heartbeat>): Heartbeat {
  return { ...HEARTBEAT, ...fields };
}
