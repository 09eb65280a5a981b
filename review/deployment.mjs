/**
 * A small deployment on loopback: the project's own daemons as separate processes, started with the command and the settings template of
 * the deploy file, and stand-ins for the store and the upstreams. Figures are those of the small sites.
 */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { Store } from './store.mjs';

const ZONES = ['zona-uno', 'mixco-sala', 'villanueva-sala'];
const FIRST_PORT = 12_000;
const PORTS = 18_000;
const READY_TIMEOUT_MILLISECONDS = 20_000;
const RESTART_MILLISECONDS = 500;
const TIMING = {
  drainS: 2,
  graceS: 6,
  contactS: 3,
  applyS: 2,
  retryRatio: 0.2,
  retryWindowS: 10,
  retryExtra: 62,
  holdMaxS: 10,
};

export function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const taken = new Set();

function isFree(port) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
  });
}

/** Returns a free port below the range from which outgoing connections take theirs. */
export async function freePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (!taken.has(port) && (await isFree(port))) {
      taken.add(port);
      return port;
    }
  }
}

function lookUp(fields, path) {
  return path.split('.').reduce((value, part) => value?.[part], fields);
}

/** Fills the gaps of the settings template as DEPLOY.md says; this project's template uses `{{a.b}}` and `{{a.b|json}}` only. */
function fillTemplate(text, fields) {
  return text.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = lookUp(fields, path);
    return isJson === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
  });
}

function readDeployFile() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const [, template] = /^template = "(.*)"$/m.exec(text);
  return { run: run.split(' '), template: readFileSync(template, 'utf8') };
}

class Daemon {
  name;
  fields;
  folder;
  /** Ends of its processes that nobody asked for. */
  ends = [];
  process = null;
  #isEnding = false;
  #wasKilled = false;
  #restart;

  constructor(name, fields, folder) {
    this.name = name;
    this.fields = fields;
    this.folder = folder;
  }

  get logPath() {
    return join(this.folder, `${this.name}.log`);
  }

  start(isFirst) {
    const { run, template } = readDeployFile();
    const settings = join(this.folder, `${this.name}.json`);
    writeFileSync(settings, fillTemplate(template, { ...this.fields, bootstrap: isFirst }));
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(run[0], run.slice(1), {
      env: { PATH, HOME, LANG, FENNELFERRY_NODE_FILE: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(this.logPath, { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      if (!this.#isEnding) {
        if (!this.#wasKilled) {
          this.ends.push({ at: Date.now(), code, signal });
        }
        this.#wasKilled = false;
        // As the platform does: a process that has ended is started again after a short delay.
        this.#restart = setTimeout(() => this.start(false), RESTART_MILLISECONDS);
      }
    });
    this.#isEnding = false;
    this.process = child;
  }

  /** Kills the process, which the platform starts again. */
  kill() {
    this.#wasKilled = true;
    this.process.kill('SIGKILL');
  }

  async stop() {
    const { process: child } = this;
    clearTimeout(this.#restart);
    if (child !== null && child.exitCode === null && child.signalCode === null) {
      const ended = new Promise((resolve) => child.once('exit', resolve));
      this.#isEnding = true;
      child.kill('SIGKILL');
      await ended;
    }
  }

  isReady() {
    return new Promise((resolve) => {
      const request = get(`http://${this.fields.listen.readiness}/api/ready`, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.setTimeout(1_000, () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }
}

/** The store, the upstreams and the daemons of one case. */
export class Deployment {
  store = new Store();
  upstreams = [];
  daemons = [];
  folder = mkdtempSync(join(tmpdir(), 'fennelferry-review-'));
  #storeAddress = '';
  #endings = [];

  /** Adds an action for the end of the case. */
  atEnd(action) {
    this.#endings.push(action);
  }

  /** @param configuration the routing configuration; `daemonCount` daemons are spread over three zones */
  async start(configuration, upstreams, daemonCount = 3, memoryMb = 350) {
    this.#storeAddress = await this.store.start(await freePort());
    this.store.put('config', 'main', configuration);
    for (const upstream of upstreams) {
      await this.addUpstream(upstream);
    }
    for (let index = 0; index < daemonCount; index += 1) {
      this.daemons.push(await this.#createDaemon(index, memoryMb));
    }
    this.daemons.forEach((daemon) => daemon.start(true));
    await this.#waitUntilReady();
  }

  async addUpstream(upstream) {
    await upstream.start(await freePort());
    this.upstreams.push(upstream);
    this.store.put('servers', upstream.id, upstream.entry());
  }

  async #createDaemon(index, memoryMb) {
    const address = async () => `127.0.0.1:${await freePort()}`;
    const listen = { front: await address(), readiness: await address(), admin: await address() };
    const fields = {
      nodeName: `front-${index + 1}`,
      ip: '127.0.0.1',
      zone: ZONES[index % ZONES.length],
      portRange: [await freePort(), await freePort()],
      listen,
      limits: { cpuShare: 0.54, cores: 1, memoryMb },
      timing: TIMING,
      provider: { address: this.#storeAddress, historyS: 20 },
    };
    return new Daemon(fields.nodeName, fields, this.folder);
  }

  async #waitUntilReady() {
    const until = Date.now() + READY_TIMEOUT_MILLISECONDS;
    while (Date.now() < until) {
      const ready = await Promise.all(this.daemons.map((daemon) => daemon.isReady()));
      if (ready.every(Boolean)) {
        return;
      }
      await pause(100);
    }
    throw new Error('the daemons did not become ready');
  }

  /** Ends of daemons' processes that nobody asked for, as texts. */
  get ends() {
    return this.daemons.flatMap(({ name, ends }) =>
      ends.map(({ code, signal }) => `${name} ended by itself, exit code ${code}, signal ${signal}`),
    );
  }

  logOf(daemon) {
    return readFileSync(daemon.logPath, 'utf8');
  }

  /** Ends every process and removes the folder. */
  async stop() {
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    this.#endings.forEach((action) => action());
    this.upstreams.forEach((upstream) => upstream.stop());
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** The limits on callers of the small sites. */
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutS: 3,
  idleTimeoutS: 15,
};
