/** Heartbeats of a leader that names proxies, as a daemon's parent passes them on. */
import type { ProxyDescription } from '../../../src/router/proxying/proxy-candidate.js';
import { toAddress } from '../../support/addresses.js';

export const LEADER = { leader: 'd9', leaderLife: 9, leaderAddress: toAddress('10.0.0.8:1') };
export const HEARTBEAT = {
  kind: 'heartbeat',
  term: 1,
  ...LEADER,
  heardAge: 0,
  confirmationAge: 0,
  leaderRevision: 9,
  newsAge: 0,
  evacuationsAge: 0,
  reportSentAt: 0,
  reportHeld: 0,
  daemons: 11,
  watchers: [],
  configurationVersion: 1,
  serversRevision: 1,
  serversPosition: 5,
  configurationRevision: 1,
  evacuations: null,
} as const;
/** Describes a daemon that reaches the servers of the balanced service. */
export function describeProxy(name: string, fields: Partial<ProxyDescription> = {}): ProxyDescription {
  return {
    daemon: name,
    zone: 'z',
    address: toAddress(`10.0.1.${name.slice(1)}:71`),
    requests: 0,
    reached: [{ service: 'logs', age: 50 }],
    lostServices: [],
    lostServers: [],
    ...fields,
  };
}
