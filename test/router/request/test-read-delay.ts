import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon } from '../support/single-daemon.js';

const PATIENCE = 900;
const READ_DELAY = 150;
/** Of the route. */
const OBJECTIVE = 400;

describe('a request that waited unread', () => {
  // A server was given the caller's whole patience from the moment of reading: it worked on after the caller's deadline.
  it('leaves its server no more time than its caller has', () => {
    const daemon = new SingleDaemon();
    daemon.arrive(1, '/read/1', PATIENCE, null, READ_DELAY);
    const [sent] = daemon.only('forward');
    expect(sent?.timeLeft).toEqual(PATIENCE - READ_DELAY);
  });

  it('is refused at once when its caller has no time left', () => {
    const daemon = new SingleDaemon();
    daemon.arrive(1, '/read/1', OBJECTIVE - 1, null, OBJECTIVE - 1);
    expect(daemon.only('forward')).toEqual([]);
    expect(daemon.only('answer').map(({ status }) => status)).toEqual([503]);
  });

  it('is refused at once when it can not be in time any more, and callers come back spread over time', () => {
    const daemon = new SingleDaemon();
    for (let request = 1; request <= 20; request += 1) {
      daemon.arrive(request, '/read/1', PATIENCE, null, OBJECTIVE);
    }
    expect(daemon.only('forward')).toEqual([]);
    const answers = daemon.only('answer');
    expect(answers.map(({ status }) => status)).toEqual(Array.from({ length: 20 }, () => 503));
    const times = answers.map(({ retryAfter }) => retryAfter ?? 0);
    expect(Math.min(...times) >= OBJECTIVE / 4).toEqual(true);
    expect(Math.max(...times) - Math.min(...times) > OBJECTIVE / 4).toEqual(true);
    expect(daemon.state.counters.refused_read_late).toEqual(20);
  });
});
