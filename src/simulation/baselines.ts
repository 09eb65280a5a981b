/**
 * Simple placement policies as baselines: plain modulo hashing, and rendezvous hashing without weights or
 * unit counts. Computes what the loss of one server costs under each of them.
 */
import { rendezvousOrder } from '../core/hashing.js';

/** Cost of the loss of one server under a policy. */
export interface BaselineFigures {
  readonly policy: 'modulo' | 'rendezvous';
  readonly ownerChanges: number;
  /** Owner changes of units whose owner was not lost. */
  readonly needlessChanges: number;
  /** Highest number of units on a server divided by the mean, after the loss. */
  readonly imbalance: number;
}

type Policy = (unit: number, servers: readonly string[]) => string;

const POLICIES: Readonly<Record<BaselineFigures['policy'], Policy>> = {
  modulo: (unit, servers) => servers[unit % servers.length] ?? '',
  rendezvous: (unit, servers) => rendezvousOrder(String(unit), servers)[0] ?? '',
};

function imbalanceOf(owners: readonly string[], servers: readonly string[]): number {
  const counts = servers.map((server) => owners.filter((owner) => owner === server).length);
  return Math.max(...counts) / (owners.length / servers.length);
}

/** Computes the cost of losing the first of the servers under a policy. */
export function measureBaseline(
  policy: BaselineFigures['policy'],
  units: number,
  servers: readonly string[],
): BaselineFigures {
  const [lost, ...remaining] = servers;
  const ownerOf = POLICIES[policy];
  const all = Array.from({ length: units }, (_, unit) => unit);
  const before = all.map((unit) => ownerOf(unit, servers));
  const after = all.map((unit) => ownerOf(unit, remaining));
  const changed = all.filter((unit) => before[unit] !== after[unit]);
  return {
    policy,
    ownerChanges: changed.length,
    needlessChanges: changed.filter((unit) => before[unit] !== lost).length,
    imbalance: imbalanceOf(after, remaining),
  };
}
