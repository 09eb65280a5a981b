/** A router daemon as a process of its own, as the soak starts, signals and replaces it. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** The daemon's program: this build's. */
export const PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url));

/** In a daemon's log, the line of an election that it won. */
const LEADERSHIP_WON = '"event":"leadership_won"';

/** Makes the steady clock of a process stand still while it is stopped. */
const SUSPENDED_CLOCK = new URL('suspended-clock.js', import.meta.url).href;

/** Where a daemon listens: `ip:port` each. */
export interface DaemonPorts {
  readonly http: string;
  readonly readiness: string;
  readonly admin: string;
  readonly peers: string;
}

export class DaemonProcess {
  readonly name: string;
  /** The build that each of its processes runs. */
  readonly program: string;
  readonly ports: DaemonPorts;
  /** Its last trouble (start, signal) was at this time, in ms. */
  troubledAt = 0;
  /** A planned stop of the present process is under way. */
  stopping = false;
  paused = false;
  /** It last went on after a pause at this time, in ms. */
  resumedAt = 0;
  readonly #settings: object;
  readonly #folder: string;
  readonly #logPath: string;
  /** A pause of it is a suspension of its machine. */
  readonly #suspends: boolean;
  #child: ChildProcess | null = null;
  #starts = 0;

  constructor(
    name: string,
    ports: DaemonPorts,
    settings: object,
    { folder, program, suspends }: { folder: string; program: string; suspends: boolean },
  ) {
    this.name = name;
    this.program = program;
    this.ports = ports;
    this.#settings = settings;
    this.#folder = folder;
    this.#logPath = join(folder, `${name}.log`);
    this.#suspends = suspends;
  }

  /** Of the present process; undefined: there is none. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get isRunning(): boolean {
    return this.#child !== null;
  }

  /** Starts a process, unless two troubles have each started one: nobody would end the first. */
  start(): void {
    if (this.#child !== null) {
      return;
    }
    const path = join(this.#folder, `${this.name}.json`);
    writeFileSync(path, JSON.stringify({ ...this.#settings, firstStart: this.#starts === 0 }));
    this.#starts += 1;
    const flags = this.#suspends ? ['--import', SUSPENDED_CLOCK] : [];
    const child = spawn(process.execPath, [...flags, this.program, path], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(this.#logPath, { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#child = child;
    this.stopping = false;
    this.troubledAt = performance.now();
    child.once('exit', () => {
      if (this.#child === child) {
        this.#child = null;
        this.paused = false;
        this.troubledAt = performance.now();
      }
      log.end();
    });
  }

  /** Sends a signal to this process, and to no other one. */
  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'): void {
    this.troubledAt = performance.now();
    this.stopping ||= name === 'SIGTERM';
    if (name === 'SIGSTOP' || name === 'SIGCONT') {
      this.paused = name === 'SIGSTOP';
      this.resumedAt = performance.now();
    }
    this.#child?.kill(name);
  }

  /** The number of elections that its processes won, by the lines in their log. */
  countLeadershipsWon(): number {
    const lines = existsSync(this.#logPath) ? readFileSync(this.#logPath, 'utf8').split('\n') : [];
    return lines.filter((line) => line.includes(LEADERSHIP_WON)).length;
  }

  /** Resolves when the present process has ended. */
  async ended(): Promise<void> {
    const child = this.#child;
    if (child !== null && child.exitCode === null && child.signalCode === null) {
      await new Promise((resolve) => child.once('exit', resolve));
    }
  }
}

/** The number of elections that the daemons of each program won. */
export function leadershipsWonByProgram(daemons: readonly DaemonProcess[]): Map<string, number> {
  const won = new Map<string, number>();
  for (const daemon of daemons) {
    won.set(daemon.program, (won.get(daemon.program) ?? 0) + daemon.countLeadershipsWon());
  }
  return won;
}
