/**
 * A worker process with many hollow daemons: the control code that ships, without callers, and hollow
 * servers that accept its grants. Everything it sends is encoded, everything it receives is decoded.
 */
import { createDaemonState, type DaemonState } from '../core/daemon-state.js';
import type { Effect } from '../core/effects.js';
import type { DaemonEvent } from '../core/events.js';
import { reduce } from '../core/reducer.js';
import { ALL_RULES } from '../core/safety-rules.js';
import { DEFAULT_TIMING } from '../core/timing.js';
import { ServerModel } from '../emulator/server-model.js';
import { decodeEnvelope, encodeEnvelope } from '../wire/codec.js';
import {
  decodeControlReply,
  decodeControlRequest,
  encodeControlReply,
  encodeControlRequest,
} from '../wire/control-codec.js';
import { FRAME_CONTROL_CALL, FRAME_CONTROL_REPLY, FRAME_ENVELOPE, HollowNetwork } from './hollow-network.js';
import type { FromWorker, KindFigures, ToWorker } from './protocol.js';

const ZONES = 5;
const SEEDS = 3;

/** In front of a call and its answer: the daemon, the server, and the call's shard and term. */
const CONTROL_HEADER_BYTES = 8;

function withHeader(daemon: number, server: number, text: string): Buffer {
  const bytes = Buffer.allocUnsafe(CONTROL_HEADER_BYTES + Buffer.byteLength(text));
  bytes.writeUInt32BE(daemon, 0);
  bytes.writeUInt32BE(server, 4);
  bytes.write(text, CONTROL_HEADER_BYTES);
  return bytes;
}

function tell(message: FromWorker): void {
  process.send?.(message);
}

/** The name, and the address, of a hollow daemon. */
function nameOf(index: number): string {
  return `h-${index}`;
}

function indexOf(name: string): number {
  return Number(name.slice(2));
}

/** Runs the hollow daemons of one process. */
class HollowWorker {
  readonly #daemons = new Map<number, DaemonState>();
  readonly #servers = new Map<number, ServerModel>();
  readonly #kinds = new Map<string, KindFigures>();
  readonly #bytes = new Map<number, number>();
  readonly #network: HollowNetwork;
  readonly #versions = new Map<number, number>();
  readonly #calls = new Map<string, { readonly shard: string; readonly term: number }>();
  readonly #timeScale: number;
  #cpuAtBegin = process.cpuUsage();

  constructor(start: Extract<ToWorker, { kind: 'start' }>) {
    const { shape, process: own, processes } = start;
    this.#network = new HollowNetwork(own, processes, (type, target, payload) =>
      this.#receive(type, target, payload),
    );
    this.#timeScale = shape.timeScale;
    const seeds = Array.from({ length: SEEDS }, (_, index) => nameOf(index));
    for (let index = own; index < shape.daemons; index += processes) {
      const identity = {
        id: nameOf(index),
        // As long as a real one, which is a time of start.
        incarnation: Date.now(),
        address: nameOf(index),
        zone: `zone-${index % ZONES}`,
        side: 'hollow',
        seeds,
        randomSeed: index + 1,
      };
      this.#daemons.set(index, createDaemonState(identity, ALL_RULES));
    }
  }

  async listen(): Promise<void> {
    tell({ kind: 'listening', port: await this.#network.listen() });
  }

  run(ports: readonly number[]): void {
    this.#network.connect(ports);
    const tick = DEFAULT_TIMING.tick * this.#timeScale;
    for (const index of this.#daemons.keys()) {
      // Spread over the tick, as separate processes would be.
      const offset = (index * tick) / Math.max(1, this.#daemons.size) / ports.length;
      setTimeout(() => setInterval(() => this.#dispatch(index, { kind: 'tick' }), tick), offset);
    }
  }

  begin(): void {
    this.#kinds.clear();
    this.#bytes.clear();
    this.#cpuAtBegin = process.cpuUsage();
  }

  end(): void {
    const { user, system } = process.cpuUsage(this.#cpuAtBegin);
    (globalThis as { gc?: () => void }).gc?.();
    const { heapUsed, rss } = process.memoryUsage();
    const states = [...this.#daemons.values()];
    const sum = (count: (state: DaemonState) => number): number =>
      states.reduce((total, state) => total + count(state), 0);
    tell({
      kind: 'figures',
      figures: {
        daemons: states.length,
        cpuMilliseconds: (user + system) / 1_000,
        heapBytes: heapUsed,
        residentBytes: rss,
        kinds: Object.fromEntries(this.#kinds),
        bytesOfDaemon: [...this.#daemons.keys()].map((index) => this.#bytes.get(index) ?? 0),
        leaders: sum((state) => state.leaderships.size),
        replicas: sum((state) => state.replicas.size),
        ready: sum((state) => this.#unitsKnown(state)),
      },
    });
  }

  /** An order to move a unit reaches whichever daemon of this process leads its shard. */
  move(unit: number, target: string): void {
    for (const [index, state] of this.#daemons) {
      for (const { replica } of state.leaderships.values()) {
        if (replica.table.records.has(unit)) {
          const command = { action: 'move', group: 'keys', unit, target } as const;
          this.#dispatch(index, { kind: 'operatorCommand', commandId: 1, command });
          return;
        }
      }
    }
  }

  dispatchTo(index: number, event: DaemonEvent): void {
    this.#dispatch(index, event);
  }

  #unitsKnown(state: DaemonState): number {
    return [...state.tables.shards.values()].reduce((total, { table }) => total + table.records.size, 0);
  }

  #dispatch(index: number, event: DaemonEvent): void {
    const state = this.#daemons.get(index);
    if (state === undefined) {
      return;
    }
    const label = event.kind === 'peerMessage' ? `receive:${event.envelope.message.kind}` : event.kind;
    const begin = performance.now();
    const effects = reduce(state, { now: this.#now(), event });
    this.#count(label, 0, 0, performance.now() - begin);
    for (const effect of effects) {
      this.#perform(index, state, effect);
    }
    const { version } = state.configuration;
    if (version !== (this.#versions.get(index) ?? 0)) {
      this.#versions.set(index, version);
      tell({ kind: 'configured', version, at: Date.now() });
    }
  }

  #perform(index: number, state: DaemonState, effect: Effect): void {
    const begin = performance.now();
    if (effect.kind === 'send') {
      const { id: sender, incarnation: senderIncarnation } = state.identity;
      const { recipientIncarnation, message } = effect;
      const bytes = encodeEnvelope({ sender, senderIncarnation, recipientIncarnation, message });
      this.#network.send(FRAME_ENVELOPE, indexOf(effect.address), bytes);
      this.#addBytes(index, bytes.length);
      this.#count(message.kind, 1, bytes.length, performance.now() - begin);
    } else if (effect.kind === 'controlServer') {
      const server = indexOf(effect.server);
      const { shard, term, sequence } = effect.request;
      this.#calls.set(`${index}:${server}:${sequence}`, { shard, term });
      const bytes = withHeader(index, server, encodeControlRequest(effect.request));
      this.#network.send(FRAME_CONTROL_CALL, server, bytes);
      this.#addBytes(index, bytes.length);
      this.#count('controlCall', 1, bytes.length, performance.now() - begin);
    } else if (effect.kind === 'readObject') {
      this.#count('storeRead', 1, 0, 0);
      tell({ kind: 'read', daemon: index, effect });
    } else if (effect.kind === 'writeObject') {
      this.#count('storeWrite', 1, effect.value.length, 0);
      tell({ kind: 'write', daemon: index, effect });
    }
  }

  #receive(type: number, target: number, payload: Buffer): void {
    const begin = performance.now();
    if (type === FRAME_ENVELOPE) {
      this.#addBytes(target, payload.length);
      const envelope = decodeEnvelope(payload, 'hollow');
      if (envelope.isOk()) {
        this.#count(`decode:${envelope.value.message.kind}`, 0, 0, performance.now() - begin);
        this.#dispatch(target, { kind: 'peerMessage', envelope: envelope.value });
      }
      return;
    }
    if (type === FRAME_CONTROL_CALL) {
      this.#serveControl(payload);
      return;
    }
    if (type === FRAME_CONTROL_REPLY) {
      this.#addBytes(target, payload.length);
      this.#takeReply(target, payload, begin);
    }
  }

  #serveControl(payload: Buffer): void {
    const daemon = payload.readUInt32BE(0);
    const server = payload.readUInt32BE(4);
    const request = decodeControlRequest(payload.toString('utf8', CONTROL_HEADER_BYTES));
    const model = this.#servers.get(server) ?? new ServerModel(1);
    this.#servers.set(server, model);
    const reply = encodeControlReply(model.control(request, this.#now()));
    this.#network.send(FRAME_CONTROL_REPLY, daemon, withHeader(daemon, server, reply));
  }

  #takeReply(daemon: number, payload: Buffer, begin: number): void {
    const server = payload.readUInt32BE(4);
    const reply = decodeControlReply(payload.toString('utf8', CONTROL_HEADER_BYTES));
    this.#count('controlReply', 1, payload.length, performance.now() - begin);
    const key = `${daemon}:${server}:${reply.sequence}`;
    const call = this.#calls.get(key);
    this.#calls.delete(key);
    if (call !== undefined) {
      this.#dispatch(daemon, { kind: 'controlReply', server: `s-${server}`, ...call, reply });
    }
  }

  #now(): number {
    return performance.now() / this.#timeScale;
  }

  #addBytes(index: number, bytes: number): void {
    this.#bytes.set(index, (this.#bytes.get(index) ?? 0) + bytes);
  }

  #count(kind: string, messages: number, bytes: number, milliseconds: number): void {
    const figures = this.#kinds.get(kind) ?? { messages: 0, bytes: 0, milliseconds: 0 };
    figures.messages += messages;
    figures.bytes += bytes;
    figures.milliseconds += milliseconds;
    this.#kinds.set(kind, figures);
  }
}

let worker: HollowWorker | null = null;

process.on('message', (message: ToWorker) => {
  switch (message.kind) {
    case 'start':
      worker = new HollowWorker(message);
      void worker.listen();
      return;
    case 'ports':
      return worker?.run(message.ports);
    case 'begin':
      return worker?.begin();
    case 'end':
      return worker?.end();
    case 'move':
      return worker?.move(message.unit, message.target);
    case 'objectRead':
    case 'objectWritten':
      return worker?.dispatchTo(message.daemon, message.event);
  }
});
process.on('disconnect', () => process.exit(0));
