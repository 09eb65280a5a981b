/**
 * One daemon process: connects the reducer to sockets. Turns input into events and performs the effects.
 */
import { createAdaptorServer } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { ConsolaInstance } from 'consola';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import { createDaemonState, type DaemonState } from '../core/daemon-state.js';
import type { Effect } from '../core/effects.js';
import type { DaemonEvent } from '../core/events.js';
import { reduce } from '../core/reducer.js';
import { ALL_RULES } from '../core/safety-rules.js';
import { DEFAULT_TIMING, type Timing } from '../core/timing.js';
import { splitAddress } from '../settings/address.js';
import type { DaemonSettings } from '../settings/daemon-settings.js';
import { createAdminApp, type CommandAnswer } from '../admin/admin-app.js';
import type { OperatorCommand } from '../core/events.js';
import { createMetrics } from './metrics.js';
import { PeerTransport } from './peer-transport.js';
import { RequestBridge } from './request-bridge.js';
import { ServerClient } from './server-client.js';
import { StoreClient } from './store-client.js';

const STOP_POLL_MILLISECONDS = 20;
/** The shortest duration of a planned stop, so that the messages that announce the departure are sent. */
const MIN_STOP_MILLISECONDS = 200;

interface HttpBindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

/** A running daemon. */
export class Daemon {
  readonly state: DaemonState;
  readonly #settings: DaemonSettings;
  readonly #log: ConsolaInstance;
  readonly #peers: PeerTransport;
  readonly #store: StoreClient;
  readonly #servers = new ServerClient();
  readonly #bridge: RequestBridge;
  readonly #pendingCommands = new Map<number, (answer: CommandAnswer) => void>();
  readonly #callerServer: Server;
  readonly #adminServer: Server;
  #nextCommandId = 1;
  #timer: NodeJS.Timeout | undefined;

  constructor(settings: DaemonSettings, log: ConsolaInstance, timing: Timing = DEFAULT_TIMING) {
    this.#settings = settings;
    this.#log = log;
    const { id, zone, side, seeds, listen: ports } = settings;
    const incarnation = Date.now();
    const identity = {
      id,
      incarnation,
      address: ports.internal,
      zone,
      side,
      seeds,
      randomSeed: incarnation ^ process.pid,
    };
    this.state = createDaemonState(identity, ALL_RULES, timing);
    this.#peers = new PeerTransport(this.state.counters, {
      onEnvelope: (envelope) => this.dispatch({ kind: 'peerMessage', envelope }),
      onMalformed: (detail) => this.#log.warn(`closed a peer's connection: ${detail}`),
    });
    this.#store = new StoreClient(settings.store);
    const dispatch = (event: DaemonEvent): void => this.dispatch(event);
    this.#bridge = new RequestBridge(this.#servers, dispatch, () => PROCESS_CLOCK.now());
    this.#callerServer = this.#createCallerServer();
    this.#adminServer = createAdaptorServer({ fetch: this.#createAdminApp().fetch }) as Server;
  }

  /** Opens every port and starts the timer. Rejects when a port is in use. */
  async start(): Promise<void> {
    const { internal, http, admin } = this.#settings.listen;
    await this.#peers.listen(internal);
    await listen(this.#adminServer, admin);
    await listen(this.#callerServer, http);
    this.#timer = setInterval(() => this.dispatch({ kind: 'tick' }), this.state.timing.tick);
    this.dispatch({ kind: 'tick' });
    this.#log.info(`listening for callers on ${http}, operators on ${admin}, daemons on ${internal}`);
  }

  /** Passes one event to the reducer and performs the effects. */
  dispatch(event: DaemonEvent): void {
    for (const effect of reduce(this.state, { now: PROCESS_CLOCK.now(), event })) {
      this.#perform(effect);
    }
  }

  /**
   * Stops accepting connections, waits for the requests in flight up to the configured drain time, then
   * closes all ports and connections.
   */
  async stop(): Promise<void> {
    this.dispatch({ kind: 'stopping' });
    this.#bridge.closing = true;
    this.#callerServer.close();
    const drainDeadline = PROCESS_CLOCK.now() + this.#settings.limits.drainMilliseconds;
    await new Promise((resolve) => setTimeout(resolve, MIN_STOP_MILLISECONDS));
    while (this.#bridge.inFlight > 0 && PROCESS_CLOCK.now() < drainDeadline) {
      await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MILLISECONDS));
    }
    clearInterval(this.#timer);
    this.#callerServer.closeAllConnections();
    this.#adminServer.closeAllConnections();
    this.#adminServer.close();
    this.#peers.close();
    this.#store.close();
    this.#servers.close();
    this.#log.info('stopped');
  }

  #createCallerServer(): Server {
    const { headerBytes, bodyBytes } = this.#settings.limits;
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.all('*', async (context) => {
      const { incoming, outgoing } = context.env;
      await this.#bridge.receive(incoming, outgoing, bodyBytes);
      return RESPONSE_ALREADY_SENT;
    });
    const serverOptions = { maxHeaderSize: headerBytes };
    return createAdaptorServer({ fetch: app.fetch, serverOptions, autoCleanupIncoming: false }) as Server;
  }

  #createAdminApp(): Hono {
    return createAdminApp({
      state: this.state,
      metrics: createMetrics(this.state),
      run: (command) => this.#runCommand(command),
    });
  }

  #runCommand(command: OperatorCommand): Promise<CommandAnswer> {
    const commandId = this.#nextCommandId;
    this.#nextCommandId += 1;
    return new Promise((resolve) => {
      this.#pendingCommands.set(commandId, resolve);
      this.dispatch({ kind: 'operatorCommand', commandId, command });
    });
  }

  #perform(effect: Effect): void {
    switch (effect.kind) {
      case 'send': {
        const { id: sender, incarnation: senderIncarnation } = this.state.identity;
        const { address, recipientIncarnation, message } = effect;
        return this.#peers.send(address, { sender, senderIncarnation, recipientIncarnation, message });
      }
      case 'controlServer':
        return void this.#callServerControl(effect);
      case 'readObject':
        return void this.#store.read(effect).then((event) => this.dispatch(event));
      case 'writeObject':
        return void this.#store.write(effect).then((event) => this.dispatch(event));
      case 'forward':
        return void this.#bridge.forward(effect);
      case 'answer':
        return this.#bridge.answer(effect);
      case 'cancel':
        return this.#bridge.cancel(effect);
      case 'commandResult': {
        this.#pendingCommands.get(effect.commandId)?.({ accepted: effect.accepted, detail: effect.detail });
        this.#pendingCommands.delete(effect.commandId);
        return;
      }
      case 'log':
        return this.#log[effect.level](effect.text);
    }
  }

  async #callServerControl(effect: Extract<Effect, { kind: 'controlServer' }>): Promise<void> {
    const { server, address, request } = effect;
    const reply = await this.#servers.control(address, request, this.state.timing.controlTimeout);
    if (reply !== null) {
      const { shard, term } = request;
      this.dispatch({ kind: 'controlReply', server, shard, term, reply });
    }
  }
}
