import { expect } from 'earl';
import { describe, it } from 'node:test';
import { Registry } from 'prom-client';
import { TransferLimits } from '../../src/router-runtime/transfer-limits.js';
import { registerTransferMetrics } from '../../src/router-runtime/transfer-metrics.js';

const NO_EVENTS = { onRoom: () => undefined, onStalled: () => undefined };

describe('the metrics of data in transfer', () => {
  // Guards against an operator who cannot see why a daemon refuses requests or closes connections.
  it('show the bytes held on both sides and the aborts by reason, also those that have not occurred', async () => {
    const registry = new Registry();
    const limits = new TransferLimits(100);
    registerTransferMetrics(registry, limits);
    limits.answers.create(NO_EVENTS).hold(12);
    limits.holdBody(34);
    limits.countAbort('no_memory');
    const text = await registry.metrics();
    expect(text.includes('fennelferry_router_held_for_callers_bytes 12\n')).toEqual(true);
    expect(text.includes('fennelferry_router_held_for_servers_bytes 34\n')).toEqual(true);
    expect(text.includes('transfer_aborts_total{reason="no_memory"} 1\n')).toEqual(true);
    expect(text.includes('transfer_aborts_total{reason="caller_not_reading"} 0\n')).toEqual(true);
  });

  // Guards against room that is lost for good when connections close while their answers are unread.
  it('count nothing for connections that have closed', () => {
    const limits = new TransferLimits(100);
    const buffer = limits.answers.create(NO_EVENTS);
    buffer.hold(1_000);
    buffer.close();
    buffer.release(1_000);
    buffer.hold(5);
    buffer.close();
    expect(limits.heldForCallers).toEqual(0);
  });
});
