/**
 * The context of one reducer step: the daemon's state, the time of the event, and the effects emitted so far.
 */
import type { DaemonState } from './daemon-state.js';
import { tableDigest, listTableVersions } from './dissemination/table-propagation.js';
import { syncMembersIfDifferent } from './membership/member-sync.js';
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

/** The shortest time between two table pulls by this daemon, whichever peer each goes to. */
const TABLE_PULL_INTERVAL: Milliseconds = 500;

/** The context passed to every sub-reducer. Valid for one event only. */
export class ReducerContext {
  readonly state: DaemonState;
  readonly now: Milliseconds;
  readonly effects: Effect[] = [];

  constructor(state: DaemonState, now: Milliseconds) {
    this.state = state;
    this.now = now;
  }

  /** Adds an effect to the result of this step. */
  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Emits a log line. Use it only for changes of state. */
  log(level: 'info' | 'warn' | 'error', text: string): void {
    this.effects.push({ kind: 'log', level, text });
  }

  /** Sends a message to a daemon by id. Drops the message when the daemon's address is unknown. */
  send(to: DaemonId, message: PeerMessage, recipientIncarnation = 0): void {
    const address = this.state.membership.members.get(to)?.address;
    if (address !== undefined) {
      this.effects.push({ kind: 'send', to, address, recipientIncarnation, message });
    }
  }

  /** Sends a message to one incarnation of a daemon; any other incarnation drops the message. */
  sendToReplica(to: ReplicaId, message: PeerMessage): void {
    this.send(daemonOfReplica(to), message, incarnationOfReplica(to));
  }

  /** Sends a message to an address whose daemon id is not known yet. */
  sendToAddress(address: string, message: PeerMessage): void {
    this.effects.push({ kind: 'send', to: address, address, recipientIncarnation: 0, message });
  }

  /** Returns a digest of this daemon's configuration, ownership tables and membership. */
  digest(): Digest {
    const { configuration, tables, membership } = this.state;
    return {
      configurationVersion: configuration.version,
      tableDigest: tableDigest(tables),
      memberDigest: memberDigest(membership),
    };
  }

  /** Compares a peer's digest with this daemon's own and requests the state in which they differ. */
  requestMissingState(peer: DaemonId, digest: Digest): void {
    const { configuration, tables, counters } = this.state;
    syncMembersIfDifferent(this, peer, digest.memberDigest);
    tables.peerConfigurationVersions.set(peer, digest.configurationVersion);
    if (digest.configurationVersion > configuration.version) {
      this.send(peer, { kind: 'configurationPull' });
    }
    if (digest.tableDigest !== tableDigest(tables) && this.now >= tables.nextPullAt) {
      tables.nextPullAt = this.now + TABLE_PULL_INTERVAL;
      counters.table_pulls += 1;
      this.send(peer, { kind: 'tablePull', versions: listTableVersions(tables) });
    }
  }
}
