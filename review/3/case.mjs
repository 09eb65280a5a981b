/** An upstream breaks off a long answer without a length by a reset; the caller gets the first part of it as a whole, successful answer. */
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { URL, fileURLToPath } from 'node:url';
import { call } from '../caller.mjs';
import { TITLE } from '../../target/review/3/title.mjs';
import { runCase } from '../run-case.mjs';
import { pause } from '../deployment.mjs';
import { CONFIGURATION, requestOn, upstreamsOf } from '../small-site.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const REQUESTS = 320;
const REQUEST_INTERVAL_MILLISECONDS = 60;
/** Every answer has this length, and is a text that only this request gets. */
const ANSWER_BYTES = 600 * 1024;
/** What an upstream sends of an answer that it breaks off. */
const BROKEN_OFF_BYTES = 400 * 1024;
const WORK_MILLISECONDS = 60;
/** kinds, garble: two of four upstreams (share .5, at most .6) break off one of twenty answers (x .05, at most .05). */
const FAULTY = ['i-archive-store-1', 'i-archive-store-2'];
const BROKEN_OFF_EVERY = 20;

function bodyOf(id) {
  return Buffer.alloc(ANSWER_BYTES, `${id} `);
}

await runCase(TITLE, RECORD, async (deployment, record, isTroubled) => {
  const answers = new Map(FAULTY.map((id) => [id, 0]));
  const brokenOff = new Set();

  /** Answers without a length: the end of the connection ends the answer (RULES, MIXED). */
  function work(request, response, _, upstream) {
    const headers = upstream.headersFor(request);
    const id = headers['Fennelferry-Attempt-Id'];
    const count = (answers.get(upstream.id) ?? 0) + 1;
    answers.set(upstream.id, count);
    const breaksOff = isTroubled && FAULTY.includes(upstream.id) && count % BROKEN_OFF_EVERY === 0;
    const { socket } = request;
    socket.on('error', () => undefined);
    setTimeout(() => {
      const lines = Object.entries({ ...headers, Connection: 'close' }).map(
        ([name, text]) => `${name}: ${text}`,
      );
      socket.write(`${['HTTP/1.1 200 OK', ...lines].join('\r\n')}\r\n\r\n`);
      if (!breaksOff) {
        socket.end(bodyOf(id));
        return;
      }
      brokenOff.add(id);
      record.add(
        `${upstream.id} sends ${BROKEN_OFF_BYTES} of ${ANSWER_BYTES} bytes of the answer to ${id} and resets the connection`,
      );
      socket.write(bodyOf(id).subarray(0, BROKEN_OFF_BYTES), () =>
        setTimeout(() => socket.resetAndDestroy(), 60),
      );
    }, WORK_MILLISECONDS);
  }

  await deployment.start(CONFIGURATION, [
    ...upstreamsOf('archive-store', 4, { work }),
    ...upstreamsOf('release-desk', 1, { work }),
    ...upstreamsOf('feed-server', 1, { keyed: true, work }),
  ]);
  record.add(`${deployment.daemons.length} daemons are ready`);
  const broken = [];

  async function read(index) {
    const id = `attempt-${index}`;
    const { name, fields } = deployment.daemons[index % deployment.daemons.length];
    const answer = await call({
      address: fields.listen.front,
      ...requestOn('archive-reads', `episode-${index}`),
      id,
    });
    const seal = answer.headers.get('fennelferry-server-seal') ?? 'none';
    const isRight = answer.body.equals(bodyOf(id));
    const whole = answer.isWhole ? 'whole' : 'not whole';
    record.add(
      `${id} to ${name}: ${answer.status}, seal ${seal}, ${answer.body.length} bytes, connection ${answer.end}, so ${whole}; ${isRight ? "the upstream's" : "not the upstream's whole"} body`,
    );
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (isSuccess && answer.isWhole && !isRight) {
      const cause = brokenOff.has(id)
        ? 'its upstream had reset the connection on the way'
        : 'no upstream had broken it off';
      broken.push(
        `MIXED: ${id} got ${answer.status} with ${answer.body.length} of ${ANSWER_BYTES} bytes as a whole answer; ${cause}`,
      );
    }
  }

  const reads = [];
  for (let index = 1; index <= REQUESTS; index += 1) {
    reads.push(read(index));
    await pause(REQUEST_INTERVAL_MILLISECONDS);
  }
  await Promise.all(reads);
  await pause(500);
  for (const daemon of deployment.daemons) {
    const lines = deployment.logOf(daemon).split('\n');
    const ofBroken = lines.filter((line) =>
      [...brokenOff].some((id) => line.includes(`"attempt_id":"${id}"`)),
    );
    ofBroken.forEach((line) => record.add(`log of ${daemon.name}: ${line}`));
  }
  return broken;
});
