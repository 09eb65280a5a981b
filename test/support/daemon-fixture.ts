/** Daemon state with a configuration and an ownership table in force, for tests of the reducer. */
import { createDaemonState, type DaemonState } from '../../src/core/daemon-state.js';
import { getOrCreateShardTable } from '../../src/core/dissemination/table-view.js';
import { validateRoutingConfiguration } from '../../src/core/configuration/routing-configuration.js';
import { putInForce } from '../../src/core/configuration/configuration-state.js';
import type { Effect } from '../../src/core/effects.js';
import type { DaemonEvent, RequestArrivedEvent } from '../../src/core/events.js';
import { applyChange, assignmentChange } from '../../src/core/ownership/ownership-table.js';
import { reduce } from '../../src/core/reducer.js';
import { ALL_RULES, type SafetyRules } from '../../src/core/safety-rules.js';

const server = (id: string, port: number): object => ({
  id,
  address: `127.0.0.1:${port}`,
  zone: 'zone-a',
  concurrency: 2,
  connections: 100,
});

export const CONFIGURATION = validateRoutingConfiguration({
  sides: [{ name: 'right', daemons: ['10.0.0.9:2'], gateways: ['10.0.0.9:1'] }],
  groups: [
    { name: 'keyed', kind: 'keyed', slots: 4, servers: [server('keyed-1', 1), server('keyed-2', 2)] },
    { name: 'spread', kind: 'balanced', servers: [server('spread-1', 3), server('spread-2', 4)] },
  ],
  routes: [
    {
      name: 'read',
      path: '/k/:key',
      methods: ['GET'],
      group: 'keyed',
      key: { from: 'path', name: 'key' },
      repeatable: true,
    },
    {
      name: 'write',
      path: '/k/:key',
      methods: ['POST'],
      group: 'keyed',
      key: { from: 'path', name: 'key' },
      repeatable: false,
    },
    {
      name: 'by-header',
      path: '/h',
      methods: ['GET'],
      group: 'keyed',
      key: { from: 'header', name: 'X-Key' },
      repeatable: true,
    },
    { name: 'any', path: '/s', methods: ['GET'], group: 'spread', repeatable: true },
  ],
})._unsafeUnwrap();

export class DaemonFixture {
  readonly state: DaemonState;
  now = 1_000;

  constructor(rules: SafetyRules = ALL_RULES) {
    const identity = {
      id: 'd1',
      incarnation: 1,
      address: 'd1',
      zone: 'zone-a',
      side: 'left',
      seeds: [],
      randomSeed: 1,
    };
    this.state = createDaemonState(identity, rules);
    putInForce(this.state.configuration, 1, JSON.stringify(CONFIGURATION), CONFIGURATION);
    const shardTable = getOrCreateShardTable(this.state.tables, 'keyed/0');
    shardTable.generation = 1;
    shardTable.version = 1;
    const units = [0, 1, 2, 3].map((unit) => ({ unit, server: 'keyed-1', epoch: 7 }));
    applyChange(shardTable.table, assignmentChange(units));
  }

  dispatch(event: DaemonEvent): Effect[] {
    return reduce(this.state, { now: this.now, event });
  }

  /** Advances time in ticks of 20 ms and returns all effects of the ticks. */
  advance(milliseconds: number): Effect[] {
    const effects: Effect[] = [];
    for (const end = this.now + milliseconds; this.now < end;) {
      this.now += 20;
      effects.push(...this.dispatch({ kind: 'tick' }));
    }
    return effects;
  }

  request(
    requestId: number,
    method: string,
    path: string,
    extra: Partial<RequestArrivedEvent> = {},
  ): Effect[] {
    const base = { host: '', query: '', headers: {}, replayable: true };
    return this.dispatch({ kind: 'requestArrived', requestId, method, path, ...base, ...extra });
  }
}

/** Returns the effects of one kind. */
export function effectsOfKind<Kind extends Effect['kind']>(
  effects: readonly Effect[],
  kind: Kind,
): Extract<Effect, { kind: Kind }>[] {
  return effects.filter((effect): effect is Extract<Effect, { kind: Kind }> => effect.kind === kind);
}
