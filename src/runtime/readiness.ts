/**
 * Readiness: a daemon may receive traffic once it has the configuration and the ownership table of every
 * shard.
 */
import { shardsOf } from '../core/configuration/shard-layout.js';
import type { DaemonState } from '../core/daemon-state.js';

/** Returns the reasons for which the daemon is not ready, one line each; none when it is ready. */
export function unmetReadinessConditions(state: DaemonState): string[] {
  if (state.stopping) {
    return ['a planned stop is under way'];
  }
  const { configuration } = state.configuration;
  if (configuration === null) {
    return ['no configuration is in force'];
  }
  return shardsOf(configuration)
    .filter((shard) => (state.tables.shards.get(shard)?.table.records.size ?? 0) === 0)
    .map((shard) => `the ownership table of shard ${shard} is not known yet`);
}
