import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import { reduce } from '../../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { CONFIGURATION, PROMPT_RESPONSE } from '../support/single-daemon.js';
import { BOUNDS } from '../support/bounds.js';
import { toAddress } from '../../support/addresses.js';

let state: RouterState;

function logsOf(now: number, event: RouterEvent): Effect[] {
  return reduce(state, now, event).filter((effect) => effect.kind === 'log');
}

const FAILURE = {
  kind: 'feedFailed',
  feed: 'configuration',
  call: 'watch',
  waited: 1_400.4,
  reason: 'no answer',
  isConclusive: true,
} as const;

describe('the health of feeds', () => {
  beforeEach(() => {
    state = createRouterState(
      { daemon: 'd', zone: 'z', peerAddress: toAddress('10.0.0.9:1'), life: 1 },
      BOUNDS,
      1,
    );
  });

  it('logs a failing feed once, with how long the call waited, and counts each failure', () => {
    const [line] = logsOf(1_000, FAILURE);
    expect(line).toEqual({
      kind: 'log',
      level: 'warn',
      event: 'feed_lost',
      fields: { feed: 'configuration', call: 'watch', waited: 1_400, reason: 'no answer' },
    });
    expect(logsOf(2_000, FAILURE)).toEqual([]);
    expect(state.counters.feed_failures).toEqual(2);
  });

  it('logs when the store answers again, and records when it last did', () => {
    expect(
      logsOf(900, {
        kind: 'feedAnswered',
        feed: 'configuration',
        sentAt: 800,
        confirmedAt: null,
        ...PROMPT_RESPONSE,
      }),
    ).toEqual([]);
    logsOf(1_000, FAILURE);
    expect(state.feeds.configuration.answeredAt).toEqual(900);
    expect(
      logsOf(3_000, {
        kind: 'feedAnswered',
        feed: 'configuration',
        sentAt: 800,
        confirmedAt: null,
        ...PROMPT_RESPONSE,
      }).length,
    ).toEqual(1);
    expect(state.feeds.configuration.answeredAt).toEqual(3_000);
    expect(state.feeds.servers.answeredAt).toEqual(Number.NEGATIVE_INFINITY);
  });

  it('logs the source of a configuration', () => {
    const [line] = logsOf(1_000, { kind: 'configuration', configuration: CONFIGURATION, revision: 7 });
    expect(line?.kind === 'log' && line.fields.source).toEqual('store');
  });
});
