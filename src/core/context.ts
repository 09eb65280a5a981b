/**
 * What one step of the reducer works with: the state, the time of the event, and the effects so far.
 */
import type { DaemonState } from './daemon-state.js';
import { tableDigest, versionsOf } from './dissemination/table-spread.js';
import { compareMembers } from './membership/member-exchange.js';
import { memberDigest } from './membership/membership.js';
import type { Effect } from './effects.js';
import {
  daemonOfReplica,
  incarnationOfReplica,
  type DaemonId,
  type Milliseconds,
  type ReplicaId,
} from './identifiers.js';
import type { Digest, PeerMessage } from './messages.js';

/** A daemon asks the same peer for tables at most this often. */
const PULL_INTERVAL: Milliseconds = 500;

/** Handed to every sub-reducer. Valid for one event only. */
export class ReducerContext {
  readonly state: DaemonState;
  readonly now: Milliseconds;
  readonly effects: Effect[] = [];

  constructor(state: DaemonState, now: Milliseconds) {
    this.state = state;
    this.now = now;
  }

  /** Adds an effect. */
  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Adds a log line. Only for changes of state. */
  log(level: 'info' | 'warn' | 'error', text: string): void {
    this.effects.push({ kind: 'log', level, text });
  }

  /** Sends to a daemon by name; a daemon whose address is unknown is passed over. */
  send(to: DaemonId, message: PeerMessage, recipientIncarnation = 0): void {
    const address = this.state.membership.members.get(to)?.address;
    if (address !== undefined) {
      this.effects.push({ kind: 'send', to, address, recipientIncarnation, message });
    }
  }

  /** Sends to one life of a daemon: another life of it drops the message. */
  sendToReplica(to: ReplicaId, message: PeerMessage): void {
    this.send(daemonOfReplica(to), message, incarnationOfReplica(to));
  }

  /** Sends to an address whose daemon's name is not known yet. */
  sendToAddress(address: string, message: PeerMessage): void {
    this.effects.push({ kind: 'send', to: address, address, recipientIncarnation: 0, message });
  }

  /** What this daemon knows, in short. */
  digest(): Digest {
    const { configuration, tables, membership } = this.state;
    return {
      configurationVersion: configuration.version,
      tableDigest: tableDigest(tables),
      memberDigest: memberDigest(membership),
    };
  }

  /** Sees from a peer's digest what either lacks, and asks for it. */
  compareDigest(peer: DaemonId, digest: Digest): void {
    const { configuration, tables, counters } = this.state;
    compareMembers(this, peer, digest.memberDigest);
    tables.peerVersions.set(peer, digest.configurationVersion);
    if (digest.configurationVersion > configuration.version) {
      this.send(peer, { kind: 'configurationPull' });
    }
    if (digest.tableDigest !== tableDigest(tables) && this.now >= tables.nextPullAt) {
      tables.nextPullAt = this.now + PULL_INTERVAL;
      counters.table_pulls += 1;
      this.send(peer, { kind: 'tablePull', versions: versionsOf(tables) });
    }
  }
}
