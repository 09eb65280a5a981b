/** Runs a router daemon as a child process, which the soak starts, signals and replaces. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Readable } from 'node:stream';
import type { PathFault } from './path-fault.js';
import { ProcessOutput } from './process-output.js';
import { HEARTBEAT_DESCRIPTOR, Heartbeats } from './heartbeats.js';
import { now } from './soak-clock.js';

/** Path of this build's daemon program. */
export const DEFAULT_PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url));

/** Time after which the platform starts a process again that has ended by itself. */
const RESTART_MILLISECONDS = 300;

/** Part of the log line that a daemon writes when it wins an election. */
const LEADERSHIP_WON = '"event":"leadership_won"';

/** Module that stops the monotonic clock of a process while the process is stopped. */
const SUSPENDED_CLOCK_MODULE = new URL('suspended-clock.js', import.meta.url).href;

/** Module that lets a process write heartbeats. */
const HEARTBEAT_MODULE = new URL('start-heartbeat.js', import.meta.url).href;

/** Module that lets a process lose its path to servers. */
const PATH_FAULT_MODULE = new URL('path-fault-module.js', import.meta.url).href;

/** Listen addresses of a daemon, each as `ip:port`. */
export interface DaemonPorts {
  readonly http: string;
  readonly readiness: string;
  readonly admin: string;
  readonly peers: string;
  readonly proxy: string;
}

/** End of a process. */
export interface ProcessEnd {
  readonly daemon: string;
  /** Time of the end, in milliseconds. */
  readonly at: number;
  /** Exit code, or the signal that ended the process. */
  readonly status: number | string;
  /** The log line of the exception that ended the process, or the last line that it wrote. */
  readonly lastLine: string;
}

/** How the processes of a daemon run. */
export interface ProcessOptions {
  readonly folder: string;
  readonly program: string;
  /** Whether a pause also stops the daemon's monotonic clock, as a suspended machine does. */
  readonly suspends: boolean;
  /** Ports that stay in reach when the daemon loses its path to servers; null: it never does. */
  readonly portsInReach: readonly number[] | null;
}

export class DaemonProcess {
  readonly name: string;
  /** Path of the program that each process of this daemon runs. */
  readonly program: string;
  readonly ports: DaemonPorts;
  /** Time of the last fault of this daemon (a start, an exit or a signal), in milliseconds. */
  lastFaultAt = 0;
  /** The same without the ends that no signal caused, and the starts after them. */
  lastPlantedFaultAt = 0;
  /** Called when a process has ended without a signal of the soak that explains it, once its output has been read. */
  onOwnEnd: (end: ProcessEnd) => void = () => undefined;
  /** Whether a planned stop of the current process is under way. */
  stopping = false;
  isPaused = false;
  /** Time of the last pause or resumption of this daemon, in milliseconds. */
  lastPauseChangeAt = 0;
  readonly #settings: object;
  readonly #folder: string;
  readonly #logPath: string;
  /** Whether a pause also stops the daemon's monotonic clock, as a suspended machine does. */
  readonly #suspends: boolean;
  readonly #portsInReach: readonly number[] | null;
  readonly #pathFile: string;
  readonly heartbeats = new Heartbeats();
  #currentProcess: ChildProcess | null = null;
  /** Since when a planned stop has been under way or not, oldest first. A paused daemon is not stopping. */
  readonly #stops: { readonly since: number; readonly isStopping: boolean }[] = [];
  #startCount = 0;
  /** Whether the soak killed the current process. */
  #isKilled = false;
  #isRetired = false;

  constructor(
    name: string,
    ports: DaemonPorts,
    settings: object,
    { folder, program, suspends, portsInReach }: ProcessOptions,
  ) {
    this.name = name;
    this.program = program;
    this.ports = ports;
    this.#settings = settings;
    this.#folder = folder;
    this.#logPath = join(folder, `${name}.log`);
    this.#suspends = suspends;
    this.#portsInReach = portsInReach;
    this.#pathFile = join(folder, `${name}.path`);
    this.setPathFault(null);
  }

  /** Process id of the current process; undefined when there is none. */
  get pid(): number | undefined {
    return this.#currentProcess?.pid;
  }

  get isRunning(): boolean {
    return this.#currentProcess !== null;
  }

  /** Starts a process unless one runs. Two overlapping faults may each call this, and a second process would leave the first one without a handle to end it. */
  start(): void {
    this.#start(true);
  }

  #start(isPlanted: boolean): void {
    if (this.#currentProcess !== null) {
      return;
    }
    const path = join(this.#folder, `${this.name}.json`);
    writeFileSync(path, JSON.stringify({ ...this.#settings, firstStart: this.#startCount === 0 }));
    this.#startCount += 1;
    const modules = [
      HEARTBEAT_MODULE,
      ...(this.#suspends ? [SUSPENDED_CLOCK_MODULE] : []),
      ...(this.#portsInReach === null ? [] : [PATH_FAULT_MODULE]),
    ];
    const ports = (this.#portsInReach ?? []).join(',');
    const env = { ...process.env, SOAK_PATH_FILE: this.#pathFile, SOAK_OTHER_PORTS: ports };
    const flags = modules.flatMap((module) => ['--import', module]);
    const child = spawn(process.execPath, [...flags, this.program, path], {
      stdio: ['ignore', 'pipe', 'pipe', 'pipe'],
      env,
    });
    this.heartbeats.restart();
    const heartbeats = child.stdio[HEARTBEAT_DESCRIPTOR] as Readable;
    heartbeats.on('data', (chunk: Buffer) => this.#receiveHeartbeats(child, chunk));
    const log = createWriteStream(this.#logPath, { flags: 'a' });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    this.#currentProcess = child;
    this.stopping = false;
    this.#isKilled = false;
    this.#recordStop();
    this.#recordFault(isPlanted);
    const output = new ProcessOutput(child);
    child.once('exit', (code, signal) => {
      if (this.#currentProcess === child) {
        this.#receiveExit(code, signal, output);
      }
      log.end();
    });
  }

  #receiveExit(code: number | null, signal: string | null, output: ProcessOutput): void {
    const isOrdered = this.#isKilled || (this.stopping && (code === 0 || signal === 'SIGTERM'));
    const wasStopping = this.stopping;
    this.#currentProcess = null;
    this.isPaused = false;
    this.#recordFault(isOrdered);
    this.#recordStop();
    if (isOrdered) {
      return;
    }
    const end = { daemon: this.name, at: now(), status: code ?? signal ?? 'unknown' };
    void output.ended().then(() => this.onOwnEnd({ ...end, lastLine: output.fatalLine }));
    // Whoever ordered a planned stop starts the next process.
    if (!wasStopping) {
      setTimeout(() => this.#startAgain(), RESTART_MILLISECONDS);
    }
  }

  /** Starts the next process after an end that nobody ordered, as the platform does. */
  #startAgain(): void {
    if (!this.#isRetired) {
      this.#start(false);
    }
  }

  #recordFault(isPlanted: boolean): void {
    this.lastFaultAt = now();
    this.lastPlantedFaultAt = isPlanted ? this.lastFaultAt : this.lastPlantedFaultAt;
  }

  /** Kills the current process. No other is started. */
  retire(): void {
    this.#isRetired = true;
    this.signal('SIGKILL');
  }

  /** Lets the daemon lose its path to all servers; null: restores it. */
  setPathFault(fault: PathFault | null): void {
    writeFileSync(this.#pathFile, fault ?? '');
  }

  #receiveHeartbeats(child: ChildProcess, chunk: Buffer): void {
    if (this.#currentProcess === child) {
      this.heartbeats.receive(chunk.toString());
    }
  }

  /** Whether the machine runs the current process now. False also while the process is paused. */
  get isScheduled(): boolean {
    return this.isRunning && this.heartbeats.isRunningAt(now());
  }

  /** Sends a signal to the current process. */
  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#recordFault(true);
    this.stopping ||= name === 'SIGTERM';
    this.#isKilled ||= name === 'SIGKILL';
    if (name === 'SIGSTOP' || name === 'SIGCONT') {
      this.isPaused = name === 'SIGSTOP';
      this.lastPauseChangeAt = now();
    }
    this.#recordStop();
    this.#currentProcess?.kill(name);
  }

  #recordStop(): void {
    this.#stops.push({ since: now(), isStopping: this.stopping && !this.isPaused });
  }

  /** Whether a planned stop was under way, and the daemon not paused, at a time. */
  wasStopping(at: number): boolean {
    return this.#stops.findLast(({ since }) => since <= at)?.isStopping === true;
  }

  /** Returns the number of elections that this daemon's processes won, counted from their log. */
  countLeadershipsWon(): number {
    const lines = existsSync(this.#logPath) ? readFileSync(this.#logPath, 'utf8').split('\n') : [];
    return lines.filter((line) => line.includes(LEADERSHIP_WON)).length;
  }

  /** Resolves when the current process has ended. */
  async ended(): Promise<void> {
    const child = this.#currentProcess;
    if (child !== null && child.exitCode === null && child.signalCode === null) {
      await new Promise((resolve) => child.once('exit', resolve));
    }
  }
}

/** Returns the number of elections won by the daemons of each program. */
export function leadershipsWonByProgram(daemons: readonly DaemonProcess[]): Map<string, number> {
  const won = new Map<string, number>();
  for (const daemon of daemons) {
    won.set(daemon.program, (won.get(daemon.program) ?? 0) + daemon.countLeadershipsWon());
  }
  return won;
}
