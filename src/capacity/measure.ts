/**
 * Measures one set-up: starts the worker processes, lets the system settle, counts for a while, ends them.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { StoreModel } from '../emulator/store-model.js';
import { CONFIGURATION_OBJECT } from '../core/configuration/routing-configuration.js';
import type { FromWorker, KindFigures, Shape, ToWorker, WorkerFigures } from './protocol.js';

const WORKER = fileURLToPath(new URL('./hollow-worker.js', import.meta.url));
const MOST_PROCESSES = 6;
const DAEMONS_PER_PROCESS = 10;
const SETTLE_PATIENCE_MILLISECONDS = 240_000;
const POLL_MILLISECONDS = 1_000;
/** On the daemons' clocks, as all times of the figures. */
const MEASURE_MILLISECONDS = 8_000;
const QUIET_ROUND_MILLISECONDS = 2_000;
const QUIET_ROUNDS = 20;
const WATCH_MILLISECONDS = 8_000;

/** What a set-up cost, for each daemon and second unless the name says otherwise. */
export interface Measurement {
  readonly shape: Shape;
  readonly processes: number;
  readonly settleMilliseconds: number;
  /** Share of one core, in per cent. */
  readonly cpuPercent: number;
  readonly bytesMean: number;
  readonly bytesMost: number;
  readonly messages: number;
  readonly heapBytes: number;
  readonly leaders: number;
  readonly replicas: number;
  /** By kind: totals over all daemons, a second. */
  readonly kinds: Readonly<Record<string, KindFigures>>;
  /** From the store's acceptance to the last daemon, in milliseconds. */
  readonly slowestConfiguration: number;
  readonly residentBytesTotal: number;
}

/** The routing configuration of a set-up. */
export function configurationFor(shape: Shape, version: number): string {
  const servers = Array.from({ length: shape.servers }, (_, index) => ({
    id: `s-${index}`,
    address: '127.0.0.1:1',
    zone: `zone-${index % 5}`,
    concurrency: 2,
    connections: 130,
  }));
  const { units: slots, shards } = shape;
  const route = { path: '/keys/:key', methods: ['GET'], group: 'keys', key: { from: 'path', name: 'key' } };
  return JSON.stringify({
    groups: [{ name: 'keys', kind: 'keyed', slots, shards, servers }],
    routes: [{ name: 'keys', ...route, repeatable: true, timeoutMilliseconds: 1_000 + version }],
  });
}

/** The worker processes of one set-up and the store between them. */
class Bench {
  readonly #shape: Shape;
  readonly #store = new StoreModel();
  readonly #children: ChildProcess[] = [];
  readonly #ports: number[] = [];
  readonly #figures: WorkerFigures[] = [];
  readonly #acceptedAt = new Map<number, number>();
  readonly #lastConfigured = new Map<number, number>();
  #wake: () => void = () => undefined;

  constructor(shape: Shape) {
    this.#shape = shape;
    this.#store.write(CONFIGURATION_OBJECT, 0, 'start', configurationFor(shape, 0));
  }

  get processes(): number {
    return this.#children.length;
  }

  async start(): Promise<void> {
    const processes = Math.min(MOST_PROCESSES, Math.ceil(this.#shape.daemons / DAEMONS_PER_PROCESS));
    for (let index = 0; index < processes; index += 1) {
      const child = fork(WORKER, [], { execArgv: ['--expose-gc'] });
      child.on('message', (message: FromWorker) => this.#receive(child, index, message));
      this.#children.push(child);
      this.#tell(child, { kind: 'start', shape: this.#shape, process: index, processes });
    }
    await this.#until(() => this.#ports.filter((port) => port > 0).length === processes);
    this.#tellAll({ kind: 'ports', ports: this.#ports });
  }

  /** Resolves with how long it took until every daemon knew every unit. */
  async settle(): Promise<number> {
    const begin = Date.now();
    const wanted = this.#shape.daemons * this.#shape.units;
    for (;;) {
      await sleep(POLL_MILLISECONDS);
      const figures = await this.count();
      const known = figures.reduce((total, { ready }) => total + ready, 0);
      const leaders = figures.reduce((total, worker) => total + worker.leaders, 0);
      if (known >= wanted && leaders === this.#shape.shards) {
        const settled = Date.now() - begin;
        await this.#untilQuiet();
        return settled;
      }
      if (Date.now() - begin > SETTLE_PATIENCE_MILLISECONDS) {
        throw new Error(
          `not settled: ${known} of ${wanted} units known, ${leaders} of ${this.#shape.shards} leaders`,
        );
      }
    }
  }

  /** Waits until the balance after the start is reached: no tables change any more. */
  async #untilQuiet(): Promise<void> {
    for (let round = 0; round < QUIET_ROUNDS; round += 1) {
      this.#tellAll({ kind: 'begin' });
      await sleep(QUIET_ROUND_MILLISECONDS * this.#shape.timeScale);
      const figures = await this.count();
      const deltas = figures.reduce((total, { kinds }) => total + (kinds['tableDelta']?.messages ?? 0), 0);
      if (deltas === 0) {
        return;
      }
    }
    throw new Error('not settled: tables go on changing');
  }

  /** Counts while changes come at the set-up's rates. */
  async measure(): Promise<readonly WorkerFigures[]> {
    this.#tellAll({ kind: 'begin' });
    const { configurationChangesPerSecond, movesPerSecond } = this.#shape;
    const timers = [
      this.#every(configurationChangesPerSecond, (count) => this.#changeConfiguration(count)),
      this.#every(movesPerSecond, (count) => this.#move(count)),
    ];
    await sleep(MEASURE_MILLISECONDS * this.#shape.timeScale);
    timers.forEach((timer) => clearInterval(timer));
    return this.count();
  }

  async count(): Promise<readonly WorkerFigures[]> {
    this.#figures.length = 0;
    this.#tellAll({ kind: 'end' });
    await this.#until(() => this.#figures.length === this.#children.length);
    return [...this.#figures];
  }

  slowestConfiguration(): number {
    const delays = [...this.#acceptedAt].map(
      ([version, at]) => (this.#lastConfigured.get(version) ?? at) - at,
    );
    return Math.max(0, ...delays) / this.#shape.timeScale;
  }

  stop(): void {
    for (const child of this.#children) {
      child.kill('SIGKILL');
    }
  }

  #every(perSecond: number, act: (count: number) => void): NodeJS.Timeout {
    let count = 0;
    const pause = (perSecond === 0 ? MEASURE_MILLISECONDS * 2 : 1_000 / perSecond) * this.#shape.timeScale;
    return setInterval(() => act((count += 1)), pause);
  }

  #changeConfiguration(count: number): void {
    const { version } = this.#store.read(CONFIGURATION_OBJECT);
    this.#acceptedAt.set(version + 1, Date.now());
    this.#store.write(CONFIGURATION_OBJECT, version, `change-${count}`, configurationFor(this.#shape, count));
  }

  #move(count: number): void {
    const unit = (count * 7_919) % this.#shape.units;
    const shard = unit % this.#shape.shards;
    const inShard = Array.from({ length: this.#shape.servers }, (_, index) => `s-${index}`)
      .sort()
      .filter((_, position) => position % this.#shape.shards === shard);
    const target = inShard[count % inShard.length] ?? '';
    this.#tellAll({ kind: 'move', unit, target });
  }

  #receive(child: ChildProcess, index: number, message: FromWorker): void {
    switch (message.kind) {
      case 'listening':
        this.#ports[index] = message.port;
        break;
      case 'figures':
        this.#figures.push(message.figures);
        break;
      case 'configured':
        this.#lastConfigured.set(message.version, message.at);
        break;
      case 'read':
        this.#read(child, message);
        break;
      case 'write': {
        const { name, expectedVersion, writeId, value } = message.effect;
        const outcome = this.#store.write(name, expectedVersion, writeId, value);
        const result = outcome.kind;
        const version = outcome.kind === 'written' ? outcome.version : 0;
        const event = { kind: 'objectWritten', name, writeId, result, version } as const;
        this.#tell(child, { kind: 'objectWritten', daemon: message.daemon, event });
      }
    }
    this.#wake();
  }

  #read(child: ChildProcess, message: Extract<FromWorker, { kind: 'read' }>): void {
    const { name, afterVersion } = message.effect;
    const answer = (): void => {
      const event = { kind: 'objectRead', name, result: this.#store.read(name) } as const;
      this.#tell(child, { kind: 'objectRead', daemon: message.daemon, event });
    };
    if (afterVersion === null || this.#store.read(name).version > afterVersion) {
      answer();
      return;
    }
    const timer = setTimeout(() => {
      cancel();
      answer();
    }, WATCH_MILLISECONDS * this.#shape.timeScale);
    const cancel = this.#store.waitForNewer(name, afterVersion, () => {
      clearTimeout(timer);
      answer();
    });
  }

  async #until(done: () => boolean): Promise<void> {
    while (!done()) {
      await new Promise<void>((resolve) => (this.#wake = resolve));
    }
  }

  #tell(child: ChildProcess, message: ToWorker): void {
    if (child.connected) {
      child.send(message);
    }
  }

  #tellAll(message: ToWorker): void {
    this.#children.forEach((child) => this.#tell(child, message));
  }
}

function mergeKinds(figures: readonly WorkerFigures[], seconds: number): Record<string, KindFigures> {
  const merged: Record<string, KindFigures> = {};
  for (const { kinds } of figures) {
    for (const [kind, { messages, bytes, milliseconds }] of Object.entries(kinds)) {
      const known = (merged[kind] ??= { messages: 0, bytes: 0, milliseconds: 0 });
      known.messages += messages / seconds;
      known.bytes += bytes / seconds;
      known.milliseconds += milliseconds / seconds;
    }
  }
  return merged;
}

/** Measures one set-up. */
export async function measureShape(shape: Shape): Promise<Measurement> {
  const bench = new Bench(shape);
  try {
    await bench.start();
    const settleMilliseconds = await bench.settle();
    const figures = await bench.measure();
    const seconds = MEASURE_MILLISECONDS / 1_000;
    const sum = (value: (worker: WorkerFigures) => number): number =>
      figures.reduce((total, worker) => total + value(worker), 0);
    const kinds = mergeKinds(figures, seconds);
    const bytes = figures.flatMap((worker) => worker.bytesOfDaemon).map((total) => total / seconds);
    const messages = Object.values(kinds).reduce((total, kind) => total + kind.messages, 0);
    return {
      shape,
      processes: bench.processes,
      settleMilliseconds,
      cpuPercent: (sum((worker) => worker.cpuMilliseconds) / (seconds * 1_000) / shape.daemons) * 100,
      bytesMean: bytes.reduce((total, value) => total + value, 0) / shape.daemons,
      bytesMost: Math.max(...bytes),
      messages: messages / shape.daemons,
      heapBytes: sum((worker) => worker.heapBytes) / shape.daemons,
      leaders: sum((worker) => worker.leaders),
      replicas: sum((worker) => worker.replicas),
      kinds,
      slowestConfiguration: bench.slowestConfiguration(),
      residentBytesTotal: sum((worker) => worker.residentBytes),
    };
  } finally {
    bench.stop();
  }
}
