/** Collects the effects of one event; every part of the reducer gets it. A context is valid for one event only. */
import type { ControlEffect, Effect } from './effects.js';
import type { LogEventName } from './log-events.js';
import type { Milliseconds } from './model/identifiers.js';
import type { RouterState } from './router-state.js';

export class RouterContext {
  readonly state: RouterState;
  readonly now: Milliseconds;
  readonly effects: Effect[] = [];

  constructor(state: RouterState, now: Milliseconds) {
    this.state = state;
    this.now = now;
  }

  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /** Adds a log line to the effects. */
  log(event: LogEventName, fields: Record<string, unknown>, level: 'info' | 'warn' = 'info'): void {
    this.effects.push({ kind: 'log', level, event, fields });
  }

  /** Adds a control call to a server and returns the call's id. */
  callServer(call: Omit<ControlEffect, 'kind' | 'callId'>): number {
    const callId = this.state.nextCallId;
    this.state.nextCallId += 1;
    this.effects.push({ kind: 'control', callId, ...call });
    return callId;
  }
}
