/** A process that logs one event and then fails in the way that its argument names. */
import { EventLog } from '../../src/router-runtime/event-log.js';
import { logFatalErrors } from '../../src/router-runtime/fatal-errors.js';
import { createRouterCounters } from '../../src/router/counters.js';

const log = new EventLog('d0', createRouterCounters());
logFatalErrors(log);
log.event('info', 'started', {});
if (process.argv[2] === 'rejection') {
  void Promise.reject(new Error('a rejected promise'));
} else {
  new URL('http://127.0.0.1:70000');
}
