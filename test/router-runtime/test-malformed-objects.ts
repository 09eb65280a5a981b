import { expect } from 'earl';
import { describe, it } from 'node:test';
import { createRouterCounters } from '../../src/router/counters.js';
import type { EventLog } from '../../src/router-runtime/event-log.js';
import { MalformedObjects } from '../../src/router-runtime/malformed-objects.js';

describe('the log of malformed objects', () => {
  // All objects without a readable name shared one line, so that a second problem was never logged.
  it('has a line for each problem of objects without a name, and one for each name', () => {
    const lines: unknown[] = [];
    const log: Pick<EventLog, 'event'> = { event: (_level, _event, fields) => lines.push(fields) };
    const counters = createRouterCounters();
    const objects = new MalformedObjects(log, counters);
    for (const [name, problem] of [
      ['', 'not JSON'],
      ['', 'too deep'],
      ['', 'not JSON'],
      ['a', 'not JSON'],
      ['a', 'too deep'],
    ] as const) {
      objects.record('servers', name, problem);
    }
    expect(lines).toEqual([
      { kind: 'servers', name: '', problem: 'not JSON' },
      { kind: 'servers', name: '', problem: 'too deep' },
      { kind: 'servers', name: 'a', problem: 'not JSON' },
    ]);
    expect(counters.malformed_store_objects).toEqual(5);
  });
});
