import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon } from '../support/single-daemon.js';

const CALLER_TIMEOUT = 900;
const READ_DELAY = 150;
/** Latency objective of the route. */
const OBJECTIVE = 400;

describe('a request that waited unread in its socket', () => {
  // With the caller's whole timeout counted from the reading, a server would work on after the caller's deadline.
  it('gives its server no more time than its caller has left', () => {
    const daemon = new SingleDaemon();
    daemon.receiveRequest(1, '/read/1', CALLER_TIMEOUT, null, READ_DELAY);
    const [sent] = daemon.effectsOfKind('forward');
    expect(sent?.timeLeft).toEqual(CALLER_TIMEOUT - READ_DELAY);
  });

  it('is refused at once when its caller has no time left', () => {
    const daemon = new SingleDaemon();
    daemon.receiveRequest(1, '/read/1', OBJECTIVE - 1, null, OBJECTIVE - 1);
    expect(daemon.effectsOfKind('forward')).toEqual([]);
    expect(daemon.effectsOfKind('answer').map(({ status }) => status)).toEqual([503]);
  });

  it('is refused at once when it cannot be answered in time, with spread retry times', () => {
    const daemon = new SingleDaemon();
    for (let request = 1; request <= 20; request += 1) {
      daemon.receiveRequest(request, '/read/1', CALLER_TIMEOUT, null, OBJECTIVE);
    }
    expect(daemon.effectsOfKind('forward')).toEqual([]);
    const answers = daemon.effectsOfKind('answer');
    expect(answers.map(({ status }) => status)).toEqual(Array.from({ length: 20 }, () => 503));
    const times = answers.map(({ retryAfter }) => retryAfter ?? 0);
    expect(Math.min(...times) >= OBJECTIVE / 4).toEqual(true);
    expect(Math.max(...times) - Math.min(...times) > OBJECTIVE / 4).toEqual(true);
    expect(daemon.state.counters.refused_read_late).toEqual(20);
  });
});
