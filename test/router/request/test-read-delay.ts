import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SingleDaemon } from '../support/single-daemon.js';

const PATIENCE = 900;
const READ_DELAY = 600;

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
    daemon.arrive(1, '/read/1', PATIENCE, null, PATIENCE);
    expect(daemon.only('forward')).toEqual([]);
    expect(daemon.only('answer').map(({ status }) => status)).toEqual([503]);
  });
});
