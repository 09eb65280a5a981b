/**
 * Simulates a whole system in virtual time: daemons, servers, the store, callers and operators. One seed
 * determines the entire run.
 */
import type { Effect } from '../core/effects.js';
import type { OperatorCommand } from '../core/events.js';
import type { RoutingConfiguration } from '../core/configuration/routing-configuration.js';
import type { Milliseconds } from '../core/identifiers.js';
import { parseShardObject, shardObjectName } from '../core/ownership/shard-object.js';
import { SeededRandom } from '../core/random.js';
import { ALL_RULES, type SafetyRules } from '../core/safety-rules.js';
import { AvailabilitySampler, SAMPLE_INTERVAL } from './availability.js';
import {
  AcknowledgedUnitsChecker,
  ConfigurationChecker,
  DrainChecker,
  SingleOwnerChecker,
} from './checkers.js';
import { History } from './history.js';
import { Network, type Endpoint } from './network.js';
import { RequestTransport, type SimulatedCall } from './request-transport.js';
import { Scheduler } from './scheduler.js';
import { SimulatedDaemon } from './simulated-daemon.js';
import { SimulatedServer } from './simulated-server.js';
import { SimulatedStore } from './simulated-store.js';

/** Maximum drift of a process's clock against virtual time, in either direction, as a fraction. */
const MAX_CLOCK_DRIFT = 0.01;
const MAX_CLOCK_OFFSET: Milliseconds = 1_000_000;
/** Time by which an accepted drain must be in force on every daemon. */
const DRAIN_GRACE: Milliseconds = 5_000;

/** One side of the simulated system: a store with its configuration, and daemons. */
export interface SideOptions {
  readonly name: string;
  readonly configuration: RoutingConfiguration;
  /** Zone of each daemon. */
  readonly daemonZones: readonly string[];
}

/** Options of the simulated system. */
export interface WorldOptions {
  readonly seed: number;
  readonly sides: readonly [SideOptions, ...SideOptions[]];
  readonly zoneDelay: Milliseconds;
  readonly rules?: SafetyRules;
  readonly keepTimeline?: boolean;
}

/** Returns the names of a side's daemons. The names are also the daemons' addresses. */
export function daemonNames(zones: readonly string[]): string[] {
  return zones.map((zone, index) => `${zone}-${index + 1}`);
}

/** Returns a simulated daemon's address as host:port, the form that configurations require. */
export function configuredAddress(sideIndex: number, daemonIndex: number): string {
  return `10.0.${sideIndex}.${daemonIndex}:1`;
}

/** The simulated system. */
export class World {
  readonly scheduler = new Scheduler();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly history: History;
  /** Stores by the name of their side. */
  readonly stores = new Map<string, SimulatedStore>();
  /** The store of the first side. */
  readonly store: SimulatedStore;
  readonly daemons: SimulatedDaemon[] = [];
  readonly servers = new Map<string, SimulatedServer>();
  readonly availability: AvailabilitySampler;
  readonly configurationChecker: ConfigurationChecker;
  readonly drainChecker: DrainChecker;
  readonly #ownerChecker: SingleOwnerChecker;
  readonly #acknowledgedUnitsChecker: AcknowledgedUnitsChecker;
  readonly #transport: RequestTransport;
  readonly #daemonsByAddress = new Map<string, SimulatedDaemon>();
  readonly #pendingCommands = new Map<number, (accepted: boolean, detail: string) => void>();
  #nextCommand = 1;

  constructor(options: WorldOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new Network(this.scheduler, this.random, options.zoneDelay);
    this.history = new History(options.keepTimeline ?? false);
    const [firstSide] = options.sides;
    for (const { name, configuration } of options.sides) {
      const store = new SimulatedStore(this.scheduler, this.network);
      store.model.write('routing', 0, 'start', JSON.stringify(configuration));
      this.stores.set(name, store);
    }
    this.store = this.stores.get(firstSide.name) as SimulatedStore;
    const groups = options.sides.flatMap((side) => side.configuration.groups);
    for (const server of groups.flatMap((group) => group.servers)) {
      this.servers.set(server.id, this.#createServer({ name: server.id, zone: server.zone }));
    }
    const keyed = firstSide.configuration.groups.filter((group) => group.kind === 'keyed');
    // Groups with the same name on two sides form one group: each unit has one owner across both sides.
    const keyedServers = keyed.map(({ name }) =>
      groups
        .filter((group) => group.name === name)
        .flatMap((group) => group.servers.map(({ id }) => this.server(id))),
    );
    this.#ownerChecker = new SingleOwnerChecker(this.history, keyedServers);
    this.#acknowledgedUnitsChecker = new AcknowledgedUnitsChecker(this.history, (side, shard) => {
      const value = this.stores.get(side)?.model.read(shardObjectName(shard)).value ?? '';
      return parseShardObject(value);
    });
    this.configurationChecker = new ConfigurationChecker(this.history);
    this.drainChecker = new DrainChecker(this.history, DRAIN_GRACE);
    this.#transport = new RequestTransport(this);
    const [firstKeyed] = keyed;
    if (firstKeyed === undefined) {
      throw new Error('the simulated configuration has no keyed group');
    }
    this.availability = new AvailabilitySampler(firstKeyed);
    options.sides.forEach((side, index) => this.#createDaemons(options, side, index));
    this.#sampleAvailability();
  }

  /** The current virtual time. */
  get now(): Milliseconds {
    return this.scheduler.now;
  }

  /** Returns a server by id; throws if there is none. */
  server(id: string): SimulatedServer {
    const server = this.servers.get(id);
    if (server === undefined) {
      throw new Error(`no simulated server ${id}`);
    }
    return server;
  }

  /** Returns the daemon at an address, given as the daemon's name or as host:port. */
  daemonAt(address: string): SimulatedDaemon | undefined {
    return this.#daemonsByAddress.get(address);
  }

  /** Sends a caller's request to a random daemon that accepts requests. */
  call(request: SimulatedCall): void {
    const accepting = this.daemons.filter((candidate) => candidate.alive && !candidate.stopping);
    this.#transport.call(request, this.random.pick(accepting));
  }

  /** Sends an operator's command to a daemon; `onResult` receives the command's result. */
  sendOperatorCommand(
    daemon: SimulatedDaemon,
    command: OperatorCommand,
    onResult: (accepted: boolean, detail: string) => void = () => undefined,
  ): void {
    const commandId = this.#nextCommand;
    this.#nextCommand += 1;
    this.#pendingCommands.set(commandId, onResult);
    daemon.dispatch({ kind: 'operatorCommand', commandId, command });
  }

  #createServer(endpoint: Endpoint): SimulatedServer {
    const server = new SimulatedServer(endpoint, this.scheduler, this.#clockRate(), this.#clockOffset());
    server.onRun = (callId) => this.history.recordRun(callId, endpoint.name, this.now);
    server.onAdmit = () => this.drainChecker.checkAdmission(endpoint.name, this.now);
    return server;
  }

  #createDaemons(options: WorldOptions, side: SideOptions, sideIndex: number): void {
    const names = daemonNames(side.daemonZones);
    side.daemonZones.forEach((zone, index) => {
      const daemon = new SimulatedDaemon({
        endpoint: { name: names[index] ?? '', zone },
        side: side.name,
        scheduler: this.scheduler,
        clockRate: this.#clockRate(),
        clockOffset: this.#clockOffset(),
        rules: options.rules ?? ALL_RULES,
        seed: options.seed * 100 + sideIndex * 50 + index,
        seeds: names.slice(0, 3),
        perform: (performer, effect) => this.#performEffect(performer, effect),
        observe: (observed) => this.#runCheckers(observed),
      });
      this.daemons.push(daemon);
      this.#daemonsByAddress.set(daemon.id, daemon);
      this.#daemonsByAddress.set(configuredAddress(sideIndex, index), daemon);
    });
  }

  #clockRate(): number {
    return 1 + MAX_CLOCK_DRIFT * (2 * this.random.fraction() - 1);
  }

  #clockOffset(): Milliseconds {
    return MAX_CLOCK_OFFSET * this.random.fraction();
  }

  #runCheckers(daemon: SimulatedDaemon): void {
    this.configurationChecker.observe(daemon, this.now);
    this.#acknowledgedUnitsChecker.recordTerms(daemon);
    this.#acknowledgedUnitsChecker.observe(daemon, this.now);
  }

  #sampleAvailability(): void {
    this.scheduler.after(SAMPLE_INTERVAL, () => {
      this.availability.sample(this.daemons, this.servers, this.now);
      this.#sampleAvailability();
    });
  }

  #performEffect(daemon: SimulatedDaemon, effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        return this.#sendPeerMessage(daemon, effect);
      case 'controlServer':
        return this.#sendControlRequest(daemon, effect);
      case 'readObject':
        return this.stores.get(daemon.side)?.read(daemon, effect);
      case 'writeObject':
        return this.stores.get(daemon.side)?.write(daemon, effect);
      case 'forward':
        return this.#transport.forward(daemon, effect);
      case 'answer':
        return this.#transport.answer(effect.requestId, effect.outcome);
      case 'cancel':
        return;
      case 'commandResult':
        this.#pendingCommands.get(effect.commandId)?.(effect.accepted, effect.detail);
        return;
      case 'log':
        return this.history.logLine(this.now, `${daemon.id}: ${effect.text}`);
    }
  }

  #sendPeerMessage(daemon: SimulatedDaemon, effect: Extract<Effect, { kind: 'send' }>): void {
    const target = this.daemonAt(effect.address);
    if (target === undefined || target === daemon) {
      return;
    }
    const { recipientIncarnation, message } = effect;
    const { id: sender, incarnation: senderIncarnation } = daemon.state.identity;
    const envelope = { sender, senderIncarnation, recipientIncarnation, message };
    this.network.deliver(daemon.endpoint, target.endpoint, () =>
      target.dispatch({ kind: 'peerMessage', envelope }),
    );
  }

  #sendControlRequest(daemon: SimulatedDaemon, effect: Extract<Effect, { kind: 'controlServer' }>): void {
    const server = this.server(effect.server);
    const { life } = daemon;
    const { shard, term } = effect.request;
    const execute = (): void =>
      server.runWhenActive(() => {
        const reply = server.control(effect.request);
        this.#ownerChecker.checkAfterControl(server, this.now);
        const event = { kind: 'controlReply', server: effect.server, shard, term, reply } as const;
        this.network.deliver(
          server.endpoint,
          daemon.endpoint,
          () => daemon.life === life && daemon.dispatch(event),
        );
      });
    this.network.deliver(daemon.endpoint, server.endpoint, execute);
  }
}
