/**
 * Starts and stops the processes of the demonstration, each by its own process id.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createServer } from 'node:net';
import { fileURLToPath } from 'node:url';

const PROGRAM = fileURLToPath(new URL('../main.js', import.meta.url));
const STOP_TIMEOUT_MILLISECONDS = 3_000;
const FIRST_PORT = 17_000;
const PORT_STEP = 100;
const MAX_PORT_ATTEMPTS = 50;

/** A group of child processes, by name. */
export class ProcessGroup {
  readonly #children = new Map<string, ChildProcess>();

  /** Starts the program with arguments under a name. Its standard error is passed through. */
  start(name: string, commandLine: readonly string[]): void {
    const child = spawn(process.execPath, [PROGRAM, ...commandLine], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    this.#children.set(name, child);
    child.once('exit', () => this.#children.delete(name));
  }

  /** Sends a signal to one process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.kill(signal);
  }

  /** Number of running processes. */
  get count(): number {
    return this.#children.size;
  }

  /**
   * Stops all processes with SIGTERM, and with SIGKILL after a timeout. Frozen processes are resumed first,
   * to react to SIGTERM.
   */
  async stop(): Promise<void> {
    const children = [...this.#children.values()];
    const exits = children.map(
      (child) => new Promise<void>((resolve) => child.once('exit', () => resolve())),
    );
    for (const child of children) {
      child.kill('SIGCONT');
      child.kill('SIGTERM');
    }
    const timer = setTimeout(
      () => children.forEach((child) => child.kill('SIGKILL')),
      STOP_TIMEOUT_MILLISECONDS,
    );
    await Promise.all(exits);
    clearTimeout(timer);
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
  });
}

/** Finds `count` consecutive free ports and returns the first. */
export async function findFreePorts(count: number): Promise<number> {
  for (let attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt += 1) {
    const base = FIRST_PORT + attempt * PORT_STEP;
    const ports = Array.from({ length: count }, (_, index) => base + index);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) {
      return base;
    }
  }
  throw new Error(`found no ${count} consecutive free ports from port ${FIRST_PORT} on`);
}
