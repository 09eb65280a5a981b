/**
 * Simpler policies to compare the placement with: plain modulo hashing, and rendezvous hashing without
 * weights or counts. Pure: what the loss of one server costs each of them.
 */
import { rendezvousOrder } from '../core/hashing.js';

/** What a policy does when one server of many is lost. */
export interface BaselineFigures {
  readonly policy: 'modulo' | 'rendezvous';
  readonly ownerChanges: number;
  /** Changes of units whose owner was not lost. */
  readonly needlessChanges: number;
  /** Most units on a server over the mean, after the loss. */
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

/** Loses the first of the servers under a policy. */
export function measureBaseline(
  policy: BaselineFigures['policy'],
  units: number,
  servers: readonly string[],
): BaselineFigures {
  const [lost, ...left] = servers;
  const ownerOf = POLICIES[policy];
  const all = Array.from({ length: units }, (_, unit) => unit);
  const before = all.map((unit) => ownerOf(unit, servers));
  const after = all.map((unit) => ownerOf(unit, left));
  const changed = all.filter((unit) => before[unit] !== after[unit]);
  return {
    policy,
    ownerChanges: changed.length,
    needlessChanges: changed.filter((unit) => before[unit] !== lost).length,
    imbalance: imbalanceOf(after, left),
  };
}
