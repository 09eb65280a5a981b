/**
 * A whole system in virtual time: daemons, servers, store, callers and operators, all from one seed.
 */
import type { Effect, ForwardEffect } from '../core/effects.js';
import type { AttemptResult, OperatorCommand } from '../core/events.js';
import type { RoutingConfiguration } from '../core/configuration/routing-configuration.js';
import type { Milliseconds } from '../core/identifiers.js';
import { SeededRandom } from '../core/random.js';
import { HOP_HEADER } from '../core/request/request-reducer.js';
import { ALL_RULES, type SafetyRules } from '../core/safety-rules.js';
import { AvailabilitySampler, SAMPLE_INTERVAL } from './availability.js';
import { AcknowledgedChecker, ConfigurationChecker, DrainChecker, SingleOwnerChecker } from './checkers.js';
import { History } from './history.js';
import { Network, type Endpoint } from './network.js';
import { Scheduler } from './scheduler.js';
import { SimulatedDaemon } from './simulated-daemon.js';
import { SimulatedServer } from './simulated-server.js';
import { SimulatedStore } from './simulated-store.js';

/** Clocks run fast or slow by up to this share. */
const CLOCK_DRIFT = 0.01;
const LARGEST_CLOCK_OFFSET: Milliseconds = 1_000_000;
/** A connection whose other end is gone is noticed after this long. */
const BROKEN_CONNECTION_DELAY: Milliseconds = 300;
const REFUSED_CONNECTION_DELAY: Milliseconds = 1;
const CALLER_PATIENCE: Milliseconds = 12_000;
/** A drain is in force everywhere after this long. */
const DRAIN_GRACE: Milliseconds = 5_000;

/** What a world is made of. */
export interface WorldOptions {
  readonly seed: number;
  readonly configuration: RoutingConfiguration;
  /** Zone of each daemon. */
  readonly daemonZones: readonly string[];
  readonly zoneDelay: Milliseconds;
  readonly rules?: SafetyRules;
  readonly keepTimeline?: boolean;
}

/** A caller's request as the simulation makes it. */
export interface SimulatedCall {
  readonly method: string;
  readonly path: string;
  readonly repeatable: boolean;
}

const CALLERS: Endpoint = { name: 'callers', zone: 'outside' };

/** The simulated system. */
export class World {
  readonly scheduler = new Scheduler();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly history: History;
  readonly store: SimulatedStore;
  readonly daemons: SimulatedDaemon[] = [];
  readonly servers = new Map<string, SimulatedServer>();
  readonly availability: AvailabilitySampler;
  readonly configurationChecker: ConfigurationChecker;
  readonly drainChecker: DrainChecker;
  readonly #ownerChecker: SingleOwnerChecker;
  readonly #acknowledgedChecker: AcknowledgedChecker;
  readonly #openCalls = new Map<string, number>();
  readonly #commands = new Map<number, (accepted: boolean, detail: string) => void>();
  #nextCall = 1;
  #nextCommand = 1;

  constructor(options: WorldOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new Network(this.scheduler, this.random, options.zoneDelay);
    this.history = new History(options.keepTimeline ?? false);
    this.store = new SimulatedStore(this.scheduler, this.network);
    this.store.model.write('routing', 0, 'start', JSON.stringify(options.configuration));
    const { groups } = options.configuration;
    for (const server of groups.flatMap((group) => group.servers)) {
      this.servers.set(server.id, this.#createServer({ name: server.id, zone: server.zone }));
    }
    const keyed = groups.filter((group) => group.kind === 'keyed');
    const serversOf = keyed.map((group) => group.servers.map((server) => this.server(server.id)));
    this.#ownerChecker = new SingleOwnerChecker(this.history, serversOf);
    this.#acknowledgedChecker = new AcknowledgedChecker(this.history);
    this.configurationChecker = new ConfigurationChecker(this.history);
    this.drainChecker = new DrainChecker(this.history, DRAIN_GRACE);
    const [firstKeyed] = keyed;
    if (firstKeyed === undefined) {
      throw new Error('a simulated configuration needs a keyed group');
    }
    this.availability = new AvailabilitySampler(firstKeyed);
    this.#createDaemons(options);
    this.#sampleAvailability();
  }

  /** Virtual time. */
  get now(): Milliseconds {
    return this.scheduler.now;
  }

  /** A server by name. */
  server(id: string): SimulatedServer {
    const server = this.servers.get(id);
    if (server === undefined) {
      throw new Error(`no simulated server ${id}`);
    }
    return server;
  }

  /** Sends a caller's request to a daemon that takes requests. */
  call(request: SimulatedCall): void {
    const daemon = this.random.pick(
      this.daemons.filter((candidate) => candidate.alive && !candidate.stopping),
    );
    const id = this.#nextCall;
    this.#nextCall += 1;
    const { repeatable, method, path } = request;
    const record = { id, repeatable, startedAt: this.now, endedAt: 0, outcome: null, runs: 0 };
    this.history.calls.set(id, record);
    if (daemon === undefined) {
      this.history.ended(id, 'broken', this.now);
      return;
    }
    this.scheduler.after(CALLER_PATIENCE, () => this.history.ended(id, 'broken', this.now));
    const arrive = (): void => {
      this.#openCalls.set(`${daemon.id}#${daemon.life}:${id}`, id);
      const headers = { [HOP_HEADER]: undefined };
      daemon.dispatch({
        kind: 'requestArrived',
        requestId: id,
        method,
        host: '',
        path,
        query: '',
        headers,
        replayable: true,
      });
    };
    this.network.deliverOnce(CALLERS, daemon.endpoint, arrive, () => this.#callerBroken(id));
  }

  /** Gives an operator's command to a daemon. */
  command(
    daemon: SimulatedDaemon,
    command: OperatorCommand,
    told: (accepted: boolean, detail: string) => void = () => undefined,
  ): void {
    const commandId = this.#nextCommand;
    this.#nextCommand += 1;
    this.#commands.set(commandId, told);
    daemon.dispatch({ kind: 'operatorCommand', commandId, command });
  }

  #createServer(endpoint: Endpoint): SimulatedServer {
    const server = new SimulatedServer(endpoint, this.scheduler, this.#clockRate(), this.#clockOffset());
    server.onRun = (callId) => this.history.ran(callId, endpoint.name, this.now);
    server.onAdmit = () => this.drainChecker.admitted(endpoint.name, this.now);
    return server;
  }

  #createDaemons(options: WorldOptions): void {
    const names = options.daemonZones.map((zone, index) => `${zone}-${index + 1}`);
    options.daemonZones.forEach((zone, index) => {
      const daemon = new SimulatedDaemon({
        endpoint: { name: names[index] ?? '', zone },
        scheduler: this.scheduler,
        clockRate: this.#clockRate(),
        clockOffset: this.#clockOffset(),
        rules: options.rules ?? ALL_RULES,
        seed: options.seed * 100 + index,
        seeds: names.slice(0, 3),
        perform: (performer, effect) => this.#perform(performer, effect),
        observe: (observed) => this.#observe(observed),
      });
      this.daemons.push(daemon);
    });
  }

  #clockRate(): number {
    return 1 + CLOCK_DRIFT * (2 * this.random.fraction() - 1);
  }

  #clockOffset(): Milliseconds {
    return LARGEST_CLOCK_OFFSET * this.random.fraction();
  }

  #observe(daemon: SimulatedDaemon): void {
    this.configurationChecker.observe(daemon, this.now);
    this.#acknowledgedChecker.noteTerms(daemon);
    this.#acknowledgedChecker.observe(daemon, this.now);
  }

  #sampleAvailability(): void {
    this.scheduler.after(SAMPLE_INTERVAL, () => {
      this.availability.sample(this.daemons, this.servers, this.now);
      this.#sampleAvailability();
    });
  }

  #perform(daemon: SimulatedDaemon, effect: Effect): void {
    switch (effect.kind) {
      case 'send':
        return this.#send(daemon, effect);
      case 'controlServer':
        return this.#control(daemon, effect);
      case 'readObject':
        return this.store.read(daemon, effect);
      case 'writeObject':
        return this.store.write(daemon, effect);
      case 'forward':
        return this.#forward(daemon, effect);
      case 'answer':
        return this.#answerCaller(daemon, effect.requestId, effect.outcome);
      case 'cancel':
        return;
      case 'commandResult':
        this.#commands.get(effect.commandId)?.(effect.accepted, effect.detail);
        return;
      case 'log':
        return this.history.note(this.now, `${daemon.id}: ${effect.text}`);
    }
  }

  #send(daemon: SimulatedDaemon, effect: Extract<Effect, { kind: 'send' }>): void {
    const target = this.daemons.find((candidate) => candidate.id === effect.address);
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

  #control(daemon: SimulatedDaemon, effect: Extract<Effect, { kind: 'controlServer' }>): void {
    const server = this.server(effect.server);
    const { life } = daemon;
    const { shard, term } = effect.request;
    const arrive = (): void =>
      server.within(() => {
        const reply = server.control(effect.request);
        this.#ownerChecker.afterControl(server, this.now);
        const event = { kind: 'controlReply', server: effect.server, shard, term, reply } as const;
        this.network.deliver(
          server.endpoint,
          daemon.endpoint,
          () => daemon.life === life && daemon.dispatch(event),
        );
      });
    this.network.deliver(daemon.endpoint, server.endpoint, arrive);
  }

  #forward(daemon: SimulatedDaemon, effect: ForwardEffect): void {
    const { requestId, attempt, server: serverId, token } = effect;
    const server = this.server(serverId);
    const { life } = daemon;
    const conclude = (result: AttemptResult): void => {
      if (daemon.life !== life) {
        return;
      }
      if (result.kind === 'answered') {
        daemon.dispatch({ kind: 'answerStarted', requestId, attempt });
        this.#answerCaller(daemon, requestId, 'answered');
      }
      daemon.dispatch({ kind: 'attemptEnded', requestId, attempt, result });
    };
    const lost = (): void =>
      this.scheduler.after(BROKEN_CONNECTION_DELAY, () =>
        conclude({ kind: 'lost', reason: 'connection broken', answerStarted: false }),
      );
    if (!server.alive) {
      const refused = { kind: 'notSent', reason: 'connection refused' } as const;
      this.scheduler.after(REFUSED_CONNECTION_DELAY, () => conclude(refused));
      return;
    }
    const serverLife = server.life;
    const arrive = (): void => {
      if (server.life !== serverLife) {
        lost();
        return;
      }
      server.within(() =>
        server.serve(requestId, token, (result) => {
          const answer: AttemptResult =
            result.kind === 'ran' ? { kind: 'answered' } : { kind: 'refused', reason: result.reason };
          this.network.deliverOnce(server.endpoint, daemon.endpoint, () => conclude(answer), lost);
        }),
      );
    };
    this.network.deliverOnce(daemon.endpoint, server.endpoint, arrive, lost);
    this.#breakOnCrash(server, serverLife, lost);
  }

  /** A server's crash breaks its connections; the daemon learns of it a little later. */
  #breakOnCrash(server: SimulatedServer, serverLife: number, lost: () => void): void {
    this.scheduler.after(BROKEN_CONNECTION_DELAY, () => {
      if (server.life !== serverLife) {
        lost();
      }
    });
  }

  #answerCaller(daemon: SimulatedDaemon, callId: number, outcome: 'answered' | 'not-run' | 'unknown'): void {
    if (!this.#openCalls.delete(`${daemon.id}#${daemon.life}:${callId}`)) {
      return;
    }
    const arrive = (): void => this.history.ended(callId, outcome, this.now);
    this.network.deliverOnce(daemon.endpoint, CALLERS, arrive, () => this.#callerBroken(callId));
  }

  #callerBroken(callId: number): void {
    this.scheduler.after(BROKEN_CONNECTION_DELAY, () => this.history.ended(callId, 'broken', this.now));
  }
}
