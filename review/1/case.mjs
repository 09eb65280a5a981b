/** The leader is killed while owners of keys are cut off: its grants arrive after the cut, and are taken under old fences. */
import { setTimeout } from 'node:timers';
import { URL, fileURLToPath } from 'node:url';
import { TITLE } from '../../target/review/1/title.mjs';
import { runCase } from '../run-case.mjs';
import { freePort, pause } from '../deployment.mjs';
import { Link } from '../link.mjs';
import { CONFIGURATION, upstreamsOf } from '../small-site.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ROUNDS = 3;
const OWNERS = 14;
/** node_cut with `servers`: a share of the servers is cut off from all machines (at most 0.4 in the site's file); here 4 of 14 for 5 s. */
const CUT_OWNERS = 4;
const CUT_MILLISECONDS = 5_000;
/** A cut begins so long after a renewal that the next ones, 0.85 s after it, are on their way when the leader is killed. */
const CUT_AFTER_RENEWAL_MILLISECONDS = 700;
const KILL_AFTER_MILLISECONDS = 270;
/** Owners get renewals every 0.85 s. */
const RENEWAL_LIMIT_MILLISECONDS = 8_000;
/** An entry goes after three heartbeats of 1.5 s, and is back soon after the cut. */
const LAPSE_MILLISECONDS = 4_500;
const SETTLE_MILLISECONDS = 6_000;
/** `freezeSlackS` of the site. */
const SLACK_MILLISECONDS = 300;

function work(request, response, _, upstream) {
  response.writeHead(200, { ...upstream.headersFor(request), 'Content-Length': 2 }).end('ok');
}

await runCase(TITLE, RECORD, async (deployment, record, isTroubled) => {
  const links = new Map();
  const held = [];
  const broken = [];
  let onRenewal = () => undefined;

  /** Checks a grant that an owner takes against the fences under which other owners have held its keys. */
  function takeGrant(owner, { from, to, fence }) {
    const healedAt = links.get(owner)?.healedAt ?? Number.NEGATIVE_INFINITY;
    const isExcused = Date.now() - healedAt <= SLACK_MILLISECONDS;
    const other = held.find(
      (grant) => grant.owner !== owner && grant.from <= to && from <= grant.to && grant.fence >= fence,
    );
    held.push({ owner, from, to, fence });
    onRenewal(owner);
    record.add(`${owner} takes keys ${from}-${to} with fence ${fence}`);
    if (other !== undefined && !isExcused) {
      broken.push(
        `OWNER: keys ${from}-${to} went to ${owner} with fence ${fence}; ${other.owner} had held ${other.from}-${other.to} with fence ${other.fence}; the link to ${owner} had healed ${Date.now() - healedAt} ms before`,
      );
    }
  }

  const owners = upstreamsOf('feed-server', OWNERS, { keyed: true, work, onGrant: takeGrant });
  await deployment.start(CONFIGURATION, [
    ...upstreamsOf('archive-store', 2, { work }),
    ...upstreamsOf('release-desk', 2, { work }),
  ]);
  for (const owner of owners) {
    await owner.start(await freePort());
    const link = new Link(owner.address);
    await link.start(await freePort());
    links.set(owner.id, link);
    deployment.upstreams.push(owner);
    deployment.atEnd(() => link.stop());
    owner.address = link.address;
    deployment.store.put('servers', owner.id, owner.entry());
  }
  record.add(`${deployment.daemons.length} daemons are ready, and ${OWNERS} owners are listed`);
  await pause(SETTLE_MILLISECONDS);

  async function playRound(round) {
    const cut = owners.filter((_, index) => (index + round * CUT_OWNERS) % OWNERS < CUT_OWNERS);
    await new Promise((resolve, reject) => {
      onRenewal = (owner) => cut.some(({ id }) => id === owner) && resolve();
      setTimeout(
        reject,
        RENEWAL_LIMIT_MILLISECONDS,
        new Error('no owner that is to be cut off gets a renewal'),
      );
    });
    await pause(CUT_AFTER_RENEWAL_MILLISECONDS);
    const leader = deployment.store.get('fennelferry-leader', 'main').spec.daemon;
    record.add(`round ${round}: ${cut.map(({ id }) => id).join(' ')} are cut off for ${CUT_MILLISECONDS} ms`);
    cut.forEach(({ id }) => links.get(id).cut());
    setTimeout(() => cut.forEach(({ id }) => deployment.store.remove('servers', id)), LAPSE_MILLISECONDS);
    await pause(KILL_AFTER_MILLISECONDS);
    record.add(`round ${round}: SIGKILL to the leader ${leader}, which is started again after a short delay`);
    deployment.daemons.find(({ name }) => name === leader).kill();
    await pause(CUT_MILLISECONDS - KILL_AFTER_MILLISECONDS);
    record.add(`round ${round}: the cut has healed`);
    for (const owner of cut) {
      links.get(owner.id).heal();
      deployment.store.put('servers', owner.id, owner.entry());
    }
    await pause(SETTLE_MILLISECONDS);
  }

  for (let round = 0; round < ROUNDS; round += 1) {
    if (isTroubled) {
      await playRound(round);
    } else {
      await pause(CUT_MILLISECONDS + SETTLE_MILLISECONDS);
    }
  }
  for (const daemon of deployment.daemons) {
    const lines = deployment.logOf(daemon).split('\n');
    const events = /leadership_|server_silent|waited_out|unit_released/;
    lines.filter((line) => events.test(line)).forEach((line) => record.add(`log of ${daemon.name}: ${line}`));
  }
  return broken;
});
