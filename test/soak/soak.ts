/**
 * One run of the soak: real daemons as processes, the store and the servers as stand-ins in this process, callers that keep
 * their connections, troubles from a seed, and the promises checked while it runs.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { ArrivalChecks } from './arrival-checks.js';
import { Caller } from './caller.js';
import { ConfigurationProbes } from './configuration-probes.js';
import { DaemonProcess, leadershipsWonByProgram } from './daemon-process.js';
import { DeadlyRequests } from './deadly-requests.js';
import { configurationOf, freePorts, settingsOf, TIMING, ZONES } from './deployment.js';
import { LeavingCallers } from './leaving-callers.js';
import { LimitTroubles } from './limit-troubles.js';
import { NoticeTroubles } from './notice-troubles.js';
import { Outages } from './outages.js';
import { Promises } from './promises.js';
import { drawSchedule, type Trouble } from './schedule.js';
import { programOf, type SoakOptions, type SoakReport } from './soak-report.js';
import { DEADLY_MARK, ServerStandIn } from './server-stand-in.js';
import { type StoreMode, StoreStandIn } from './store-stand-in.js';

const MILLISECONDS_PER_SECOND = 1_000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;
/** A daemon is in touch when neither it nor the store had trouble for this long. */
const CONTACT = 3_000;
const SETTLE = 5_000;
/** A server that has crashed is back after this long. */
const SERVER_RESTART = 2_000;
/** And its former life's entry is gone after three heartbeats. */
const ENTRY_LAPSE = 4_000;
/**
 * Without troubles at the end: everything has to be served again. A leader that comes after the loss of all daemons waits 7.7 s for leases of
 * servers that are gone, 1.4 s after the store is back.
 */
const CALM = 12_000;
/** Keys of a server that has ended are served again within this time: its lease, and a move. */
const RECOVERY = 5_000;
/** Last part of the first caller's address. */
const FIRST_CALLER = 2;
const CALL_INTERVAL = 60;
const INSIST_INTERVAL = 900;
/** A daemon that is paused for longer than the time in which it has to stop is killed by the platform. */
const STOP_LIMIT = TIMING.stopGrace * MILLISECONDS_PER_SECOND + 2_000;

export class Soak {
  readonly #options: SoakOptions;
  readonly #store = new StoreStandIn();
  readonly #promises = new Promises();
  readonly #stalls = monitorEventLoopDelay({ resolution: 10 });
  readonly #daemons: DaemonProcess[] = [];
  readonly #callers: Caller[] = [];
  readonly #servers: ServerStandIn[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), 'fennelferry-soak-'));
  readonly #probes = new ConfigurationProbes(this.#promises, (daemon, from) =>
    this.#inTouchSince(daemon, from),
  );
  /** Servers that leave and say so in answers only. */
  readonly #saidLeaving = new Set<ServerStandIn>();
  readonly #arrivals = new ArrivalChecks(this.#promises, (attemptId) => this.#isInTouch(attemptId));
  readonly #deadly = new DeadlyRequests(this.#promises, {
    isInTouch: (attemptId) => this.#isInTouch(attemptId),
    replace: (server) => this.#replaceCrashed(server),
  });
  #version = 0;
  #nextServer = 0;
  readonly #outages = new Outages(this.#store);
  #finished = false;

  constructor(options: SoakOptions) {
    this.#options = options;
  }

  async run(): Promise<SoakReport> {
    const { seed, length, daemons, servers } = this.#options;
    const schedule = drawSchedule(seed, length, daemons, servers);
    await this.#start();
    this.#stalls.enable();
    const calls = this.#callers.map((caller) => this.#callAllTheTime(caller));
    if (this.#options.isHarsh) {
      calls.push(this.#insist());
    }
    await pause(SETTLE);
    const startedAt = performance.now();
    const troubles: Promise<void>[] = [];
    const noticed = this.#options.hasNotices ? this.#createNotices().run(length) : Promise.resolve();
    const limited = this.#options.hasLimits ? this.#createLimits().run(length) : Promise.resolve();
    const leaving = this.#options.hasLeaving ? this.#createLeavingCallers().run(length) : Promise.resolve();
    for (const { at, trouble } of schedule) {
      await pause(startedAt + at - performance.now());
      troubles.push(this.#perform(trouble));
    }
    await Promise.all([...troubles, noticed, limited, leaving]);
    await pause(CALM);
    await this.#deadly.untilQuiet(RECOVERY);
    await this.#checkServedAgain();
    this.#finished = true;
    await Promise.all(calls);
    this.#promises.finish();
    return this.#report(schedule.map(({ at, trouble }) => `${at} ${JSON.stringify(trouble)}`));
  }

  /** Ends every process of this run, and no other one. */
  async end(): Promise<void> {
    this.#finished = true;
    this.#stalls.disable();
    this.#callers.forEach((caller) => caller.close());
    const ended = this.#daemons.map((daemon) => daemon.ended());
    this.#daemons.forEach((daemon) => daemon.signal('SIGKILL'));
    await Promise.all(ended);
    this.#servers.forEach((server) => server.stop());
    this.#store.stop();
    if (this.#promises.violations.length === 0) {
      rmSync(this.#folder, { recursive: true, force: true });
    }
  }

  async #start(): Promise<void> {
    const { daemons, servers } = this.#options;
    const storeAddress = await this.#store.start();
    this.#promises.onArrivalAt = (server, attemptId) => this.#arrivals.onArrival(server, attemptId);
    this.#promises.onDeadly = (server, attemptId) =>
      void this.#deadly.crash(server, server.service, attemptId);
    this.#change();
    for (let index = 0; index < servers; index += 1) {
      await this.#addServer('keyed');
      await this.#addServer('plain');
    }
    const ports = await freePorts(4 * daemons);
    for (let index = 0; index < daemons; index += 1) {
      const [http, readiness, admin, peers] = ports
        .slice(4 * index, 4 * index + 4)
        .map((port) => `127.0.0.1:${port}`) as [string, string, string, string];
      const places = { http, readiness, admin, peers };
      const settings = settingsOf(index, places, storeAddress);
      const program = programOf(this.#options, index);
      const process = { folder: this.#folder, program, suspends: this.#options.isHarsh };
      const daemon = new DaemonProcess(`d${index}`, places, settings, process);
      this.#daemons.push(daemon);
      this.#callers.push(new Caller(daemon, this.#promises, `127.0.0.${index + FIRST_CALLER}`));
      daemon.start();
    }
  }

  #change(): void {
    this.#version += 1;
    this.#store.put('config', 'main', configurationOf(this.#version));
    this.#probes.noteWritten(this.#version);
  }

  async #addServer(service: 'keyed' | 'plain', port = 0): Promise<void> {
    this.#nextServer += 1;
    const zone = ZONES[this.#nextServer % ZONES.length] as string;
    const isKeyed = service === 'keyed';
    const server = new ServerStandIn(`s${this.#nextServer}`, service, zone, isKeyed, this.#promises);
    await server.start(port);
    this.#servers.push(server);
    this.#promises.servers.push(server);
    this.#putEntry(server, 'ready');
  }

  #staying(): ServerStandIn[] {
    return this.#servers.filter(
      (server) => !this.#arrivals.isLeaving(server) && !this.#saidLeaving.has(server),
    );
  }

  #createNotices(): NoticeTroubles {
    const notices = new NoticeTroubles(this.#options.seed, this.#promises, {
      store: this.#store,
      daemons: this.#daemons,
      staying: () => this.#staying(),
      addLike: (server) => this.#addServer(server.keyed ? 'keyed' : 'plain'),
      restart: (server, after) => this.#restartServer(server, after),
      retire: (server) => void this.#saidLeaving.add(server),
      putEntry: (server) => this.#putEntry(server, 'ready'),
    });
    this.#promises.noticeChecks.push(notices);
    return notices;
  }

  #createLimits(): LimitTroubles {
    const limits = new LimitTroubles(this.#options.seed, this.#promises, {
      daemons: this.#daemons,
      staying: () => this.#staying(),
    });
    this.#promises.noticeChecks.push(limits);
    return limits;
  }

  #createLeavingCallers(): LeavingCallers {
    const leaving = new LeavingCallers(this.#options.seed, this.#promises, {
      daemons: this.#daemons,
      servers: () => this.#servers,
    });
    this.#promises.noticeChecks.push(leaving);
    return leaving;
  }

  /** A server crashes and is back under its id, at its address. */
  async #restartServer(server: ServerStandIn, after: number): Promise<void> {
    const { id, service, zone, keyed, port } = server;
    this.#servers.splice(this.#servers.indexOf(server), 1);
    this.#promises.servers.splice(this.#promises.servers.indexOf(server), 1);
    server.crash();
    await pause(after);
    const next = new ServerStandIn(id, service, zone, keyed, this.#promises);
    next.born = Date.now();
    await next.start(port);
    this.#servers.push(next);
    this.#promises.servers.push(next);
    this.#putEntry(next, 'ready');
  }

  #putEntry({ id, service, address, zone, born }: ServerStandIn, state: 'ready' | 'draining'): void {
    this.#store.put('servers', id, {
      service,
      address,
      zone,
      version: '1',
      capacity: 8,
      state,
      warmupLeftS: 0,
      sequence: 1,
      ...(born === null ? {} : { born }),
    });
  }

  async #perform(trouble: Trouble): Promise<void> {
    switch (trouble.kind) {
      case 'change':
        for (let index = 0; index < trouble.count; index += 1) {
          this.#change();
          await pause(100);
        }
        return;
      case 'storeSilent':
      case 'storeBusy':
        return this.#storeAway(trouble.kind === 'storeSilent' ? 'silent' : 'busy', trouble.lasts);
      case 'muteStore':
        return this.#outages.mute();
      case 'kill':
      case 'stop':
        return this.#replaceAll(trouble.daemons, trouble.kind, trouble.lasts);
      case 'pause':
        await Promise.all(trouble.daemons.map((index) => this.#pauseDaemon(index, trouble.lasts)));
        return;
      case 'drain':
        return this.#drain(trouble.server, false);
      case 'replace':
        return this.#drain(trouble.server, true);
      case 'evacuate':
        return this.#evacuate(ZONES[trouble.zone] as string, trouble.lasts);
    }
  }

  async #storeAway(mode: StoreMode, lasts: number): Promise<void> {
    const end = this.#outages.begin(mode);
    await pause(lasts);
    end();
  }

  async #replaceAll(indexes: readonly number[], how: 'kill' | 'stop', delay: number): Promise<void> {
    await Promise.all(indexes.map((index) => this.#replace(index, how, delay)));
  }

  async #replace(index: number, how: 'kill' | 'stop', delay: number): Promise<void> {
    const daemon = this.#daemons[index] as DaemonProcess;
    if (!daemon.isRunning || daemon.stopping) {
      return;
    }
    const ended = daemon.ended();
    daemon.signal(how === 'kill' ? 'SIGKILL' : 'SIGTERM');
    const isInTime = await Promise.race([ended.then(() => true), pause(STOP_LIMIT).then(() => false)]);
    if (!isInTime) {
      this.#promises.fail('a planned stop ends in time', daemon.name);
      daemon.signal('SIGKILL');
      await ended;
    }
    await pause(delay);
    daemon.start();
  }

  async #pauseDaemon(index: number, lasts: number): Promise<void> {
    const daemon = this.#daemons[index] as DaemonProcess;
    if (!daemon.isRunning || daemon.stopping || daemon.paused) {
      return;
    }
    daemon.signal('SIGSTOP');
    await pause(lasts);
    daemon.signal('SIGCONT');
  }

  /** A server leaves, after saying so or not; another one has come before. */
  async #drain(index: number, isSilent: boolean): Promise<void> {
    const server = this.#staying()[index];
    if (server === undefined) {
      return;
    }
    await this.#addServer(server.keyed ? 'keyed' : 'plain');
    this.#arrivals.noteLeaving(server);
    if (!isSilent) {
      this.#putEntry(server, 'draining');
      await pause(TIMING.drain * MILLISECONDS_PER_SECOND);
    }
    this.#store.remove('servers', server.id);
  }

  async #evacuate(zone: string, lasts: number): Promise<void> {
    if (this.#arrivals.isAnyEvacuated) {
      return;
    }
    this.#store.put('evacuations', zone, {});
    this.#arrivals.noteEvacuated(zone);
    await pause(lasts);
    this.#store.remove('evacuations', zone);
    this.#arrivals.noteRestored(zone);
  }

  /** Whether neither a daemon nor the store has had trouble for so long before a moment. */
  #inTouchSince(daemon: DaemonProcess, from: number): boolean {
    const { isRunning, paused, stopping, troubledAt } = daemon;
    const isCalm =
      !this.#outages.areUnderWay && Math.max(troubledAt, this.#outages.troubledAt) + CONTACT <= from;
    return isCalm && isRunning && !paused && !stopping;
  }

  async #callAllTheTime(caller: Caller): Promise<void> {
    let turn = 0;
    while (!this.#finished) {
      turn += 1;
      void this.#callOnce(caller, turn);
      await pause(CALL_INTERVAL);
    }
  }

  /** A caller that comes again and again, each time at another daemon, with requests under which servers end. */
  async #insist(): Promise<void> {
    for (let turn = 0; !this.#finished; turn += 1) {
      const caller = this.#callers[(turn * 7) % this.#callers.length];
      void caller?.call(turn % 2 === 0 ? `/keyed/${DEADLY_MARK}` : `/once/${DEADLY_MARK}`, 77);
      await pause(INSIST_INTERVAL);
    }
  }

  async #callOnce(caller: Caller, turn: number): Promise<void> {
    switch (turn % 4) {
      case 0:
        return void (await caller.call('/once/'));
      case 1:
        return void (await caller.call('/keyed/', turn * 7_919));
      default:
        return this.#probes.probe(caller, turn);
    }
  }

  /** Whether the daemon that sent a request is in touch now. */
  #isInTouch(attemptId: string): boolean {
    const daemon = this.#daemons.find(({ name }) => attemptId.startsWith(`${name}-`));
    return daemon !== undefined && this.#inTouchSince(daemon, performance.now());
  }

  /** The entry of a server that has crashed lapses; another life comes at its address. */
  async #replaceCrashed(server: ServerStandIn): Promise<void> {
    this.#servers.splice(this.#servers.indexOf(server), 1);
    this.#promises.servers.splice(this.#promises.servers.indexOf(server), 1);
    await pause(SERVER_RESTART);
    if (!this.#finished) {
      await this.#addServer(server.keyed ? 'keyed' : 'plain', server.port);
    }
    await pause(ENTRY_LAPSE - SERVER_RESTART);
    this.#store.remove('servers', server.id);
  }

  /** After the calm, every daemon serves everything under the newest version. */
  async #checkServedAgain(): Promise<void> {
    for (const caller of this.#callers) {
      for (const path of [`/added-${this.#version}/`, '/keyed/', '/once/']) {
        const { status } = await caller.call(path, 4_711);
        if (status !== 200) {
          this.#promises.fail('service comes back', `${path} at ${caller.daemon.name}: status ${status}`);
        }
      }
    }
  }

  #report(troubles: string[]): SoakReport {
    const { outcomes, violations } = this.#promises;
    return {
      seed: this.#options.seed,
      violations,
      requests: outcomes.length,
      answered: outcomes.filter(({ status }) => status === 200).length,
      versions: this.#version,
      serverEnds: this.#deadly.ends,
      leadershipsWon: leadershipsWonByProgram(this.#daemons),
      longestStall: Math.round(this.#stalls.max / NANOSECONDS_PER_MILLISECOND),
      troubles,
      folder: this.#folder,
    };
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, milliseconds)));
}

/** Runs once, and ends all that it has started. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const soak = new Soak(options);
  try {
    return await soak.run();
  } finally {
    await soak.end();
  }
}
