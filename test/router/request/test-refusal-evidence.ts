/** Guards against refusals that an operator can't prove from the log: what each attempt shows must be in its line. */
import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { AttemptResult } from '../../../src/router/events.js';
import { SingleDaemon } from '../support/single-daemon.js';

const REJECTED: AttemptResult = {
  kind: 'rejected',
  status: 503,
  misdirected: false,
  load: null,
  attribution: 'id',
};
const ANSWER_TO_OTHER: AttemptResult = {
  kind: 'lost',
  reason: 'an answer to another request',
  isResponseStarted: false,
  isClosedByServer: false,
  foreignAttemptId: 'a-1',
};

let daemon: SingleDaemon;

function fieldsOfLine(event: string): Record<string, unknown> | undefined {
  return daemon.effectsOfKind('log').find((line) => line.event === event)?.fields;
}

describe('the evidence for a refusal', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
  });

  it('is in the line of the request, for each attempt', () => {
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, { kind: 'withheld' });
    daemon.ended(1, 2, REJECTED);
    daemon.ended(1, 3, REJECTED);
    expect(fieldsOfLine('request_refused')?.['execution']).toEqual([
      'not written',
      'rejected by id',
      'rejected by id',
    ]);
    expect(daemon.state.counters.refused_with_proof).toEqual(1);
    expect(daemon.state.counters.refused).toEqual(1);
  });

  it('is the absence of attempts when there was none', () => {
    daemon.receiveRequest(1, '/book/1', 900, null, 390);
    daemon.receiveRequest(2, '/book/2', 20);
    expect(fieldsOfLine('request_refused')?.['execution']).toEqual(undefined);
    expect(daemon.state.counters.refused_without_attempt).toEqual(1);
  });

  it('is contradicted in the log by an answer that names the refused attempt', () => {
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, REJECTED);
    daemon.ended(1, 2, REJECTED);
    daemon.receiveRequest(2, '/book/2');
    daemon.ended(2, 1, ANSWER_TO_OTHER);
    expect(fieldsOfLine('refused_request_answered')?.['attempt_id']).toEqual('a-1');
    expect(daemon.state.counters.answers_to_refused_requests).toEqual(1);
  });
});
