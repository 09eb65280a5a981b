/** Simulates router daemons, the store and servers in virtual time, with faults. */
import { SeededRandom } from '../../../src/core/random.js';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import type { Configuration } from '../../../src/router/model/configuration.js';
import { buildServerId, instanceOf } from '../../../src/router/model/server-life.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import type { PeerMessage } from '../../../src/router/peers/messages.js';
import { watchTime } from '../../../src/router/news/news-timing.js';
import { reduce } from '../../../src/router/reducer.js';
import type { DaemonClock } from '../../../src/clock/daemon-clock.js';
import { StoreFeeds } from '../../../src/router-runtime/store-feeds.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { ModelServer, carryCall, OwnerChecker, WATCHED_KEYS, type CallTroubles } from './model-server.js';
import { ModelFeed } from './model-feed.js';
import { type BootClock, Machine, SOUND_BOOT_CLOCK } from './machine.js';
import { ModelStore } from './model-store.js';
import { VirtualClock } from './virtual-clock.js';
import { BOUNDS } from './bounds.js';
import { CONFIGURATION, SERVICE } from './world-configuration.js';

export { CONFIGURATION, SERVICE };

const TICK = 20;
const LINK_DELAY = 1;
/** Interval in milliseconds at which a link is checked and, if broken, opened again. */
const LINK_RETRY = 150;
/** Number of the link on which a daemon receives its parent's messages. */
const PARENT_LINK = -1;
/** Outcomes of a control call for which the intended server responded. */
const ANSWERED: ReadonlySet<string> = new Set(['accepted', 'higherFence', 'rejected']);
/** A daemon with the state of its current incarnation. */
export interface Daemon {
  readonly name: string;
  readonly address: string;
  state: RouterState;
  life: number;
  alive: boolean;
  /** Whether other daemons can reach this daemon. */
  peersReachable: boolean;
  /** Whether the daemon can reach the store. */
  storeReachable: boolean;
  /** The process is paused until this time; events for it wait. */
  frozenUntil: number;
  readonly machine: Machine;
  clock: DaemonClock;
  following: string | null;
  /** The lists and watches of the daemon in the store; null before its first start. */
  feeds: StoreFeeds | null;
}

/** Performs the effects that concern callers' requests. */
export interface RequestCarrier {
  perform(daemon: Daemon, effect: Effect): void;
}

export class RouterWorld {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly store: ModelStore;
  readonly checker = new OwnerChecker();
  readonly servers: ModelServer[] = [];
  readonly daemons: Daemon[] = [];
  readonly troubles: CallTroubles = { lateShare: 0 };
  readonly events: string[] = [];
  bootClock: BootClock = SOUND_BOOT_CLOCK;
  /** Performs the daemons' effects on requests; null: there are no requests. */
  requests: RequestCarrier | null = null;
  readonly configurations: ModelFeed<Configuration>;
  readonly serverEntries: ModelFeed<ServerDescription>;
  readonly evacuations: ModelFeed<string>;
  #evacuated: readonly string[] = [];
  readonly #entries = new Map<string, ServerDescription>();
  #lastIncarnation = 0;
  #nextServer = 0;

  constructor(seed: number, daemonCount = 3, serverCount = 5) {
    this.random = new SeededRandom(seed);
    this.store = new ModelStore(this.clock, this.random);
    this.configurations = new ModelFeed('configuration', this.clock, this.store);
    this.serverEntries = new ModelFeed('servers', this.clock, this.store);
    this.evacuations = new ModelFeed('evacuations', this.clock, this.store);
    this.configure(CONFIGURATION);
    for (let index = 0; index < serverCount; index += 1) {
      this.addServer(`10.0.1.${index}:80`);
    }
    for (let index = 0; index < daemonCount; index += 1) {
      this.#addDaemon(`d${index}`, `10.0.0.${index}:70`);
    }
    this.clock.after(0, () => this.#tickAll());
  }

  /** Adds a server. `listedAfter` delays its entry, and `warmupLeft` is its warm-up then, both in milliseconds. */
  addServer(
    address: string,
    service = SERVICE,
    { listedAfter = 0, warmupLeft = 0 }: { listedAfter?: number; warmupLeft?: number } = {},
  ): ModelServer {
    this.#nextServer += 1;
    const server = new ModelServer(`s${this.#nextServer}`, address, this.clock, this.checker);
    this.servers.push(server);
    const entry = {
      id: server.id,
      service,
      address,
      zone: `z${this.#nextServer % 3}`,
      slots: 2,
      draining: false,
      warmupLeft,
      listedAt: this.#nextServer,
      revision: 0,
    };
    if (listedAfter === 0) {
      this.#writeEntry(entry);
    } else {
      this.clock.after(listedAfter, () => this.#writeEntry(entry));
    }
    return server;
  }

  /** Writes a server's entry at the store's next revision. */
  #writeEntry(entry: ServerDescription): void {
    const revision = this.store.revision + 1;
    const instance = instanceOf(entry.id);
    this.#entries.set(instance, { ...entry, revision });
    this.serverEntries.put(instance, { ...entry, revision });
  }

  /** Crashes a server and restarts it at its address under its former name; its entry is replaced but never removed. */
  restartServer(server: ModelServer, born: number): ModelServer {
    const entry = this.#entries.get(instanceOf(server.id));
    if (entry === undefined) {
      throw new Error(`${server.id} is not listed`);
    }
    server.alive = false;
    const id = buildServerId(instanceOf(server.id), born);
    const next = new ModelServer(id, server.address, this.clock, this.checker);
    this.servers.push(next);
    this.#writeEntry({ ...entry, id });
    return next;
  }

  /** Writes a new configuration to the store. */
  configure(configuration: Configuration): void {
    this.configurations.put('main', configuration);
  }

  /** Removes a server from the list. */
  unlist(id: string): void {
    this.#entries.delete(id);
    this.serverEntries.put(id, null);
  }

  drain(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#writeEntry({ ...entry, draining: true });
    }
  }

  /** Changes the number of slots in a server's entry. */
  resize(id: string, slots: number): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#writeEntry({ ...entry, slots });
    }
  }

  /** Evacuates the given zones and ends the evacuation of all others. */
  evacuate(zones: readonly string[]): void {
    const former = this.#evacuated;
    this.#evacuated = zones;
    zones.filter((zone) => !former.includes(zone)).forEach((zone) => this.evacuations.put(zone, zone));
    former.filter((zone) => !zones.includes(zone)).forEach((zone) => this.evacuations.put(zone, null));
  }

  /** Makes the connections of all waiting watches unresponsive, without a reset. */
  silenceWatches(): void {
    [this.configurations, this.serverEntries, this.evacuations].forEach((feed) => feed.silenceWatches());
  }

  #addDaemon(name: string, address: string): void {
    const machine = new Machine(this.clock);
    const daemon: Daemon = {
      name,
      address,
      state: this.#createState(name, address),
      life: this.#lastIncarnation,
      alive: false,
      peersReachable: true,
      storeReachable: true,
      frozenUntil: 0,
      machine,
      clock: machine.createClock(this.bootClock),
      following: null,
      feeds: null,
    };
    this.daemons.push(daemon);
    this.startDaemon(daemon);
  }

  #createState(daemon: string, peerAddress: string): RouterState {
    this.#lastIncarnation += 1;
    const isFirstStart = this.clock.now === 0;
    const identity = { daemon, zone: 'z0', peerAddress, life: this.#lastIncarnation, isFirstStart };
    return createRouterState(identity, BOUNDS, this.#lastIncarnation);
  }

  startDaemon(daemon: Daemon): void {
    daemon.clock = daemon.machine.createClock((now) => this.bootClock(now));
    daemon.state = this.#createState(daemon.name, daemon.address);
    daemon.life = this.#lastIncarnation;
    daemon.alive = true;
    daemon.following = null;
    daemon.feeds?.close();
    daemon.feeds = this.#createFeeds(daemon, daemon.life);
  }

  #createFeeds(daemon: Daemon, life: number): StoreFeeds {
    const isReachable = (): boolean => daemon.storeReachable;
    const sources = {
      configuration: this.configurations.sourceFor(isReachable),
      servers: this.serverEntries.sourceFor(isReachable),
      evacuations: this.evacuations.sourceFor(isReachable),
    };
    return new StoreFeeds(sources, (event) => this.#deliver(daemon, life, event), {
      timers: daemon.machine.createTimers(() => daemon.clock),
      watchTime: () => watchTime(daemon.state.bounds),
    });
  }

  /** Suspends a daemon's machine: events for the daemon wait, and its monotonic clock stops. */
  suspend(daemon: Daemon, length: number): void {
    if (daemon.frozenUntil > this.clock.now) {
      return;
    }
    const until = this.clock.now + length;
    daemon.frozenUntil = until;
    daemon.machine.suspend(until);
    // After the suspension a timer may fire before data in the sockets is read.
    this.clock.after(length, () => this.deliver(daemon, { kind: 'tick' }));
  }

  /** Performs a planned stop: the process continues for a while, ends, and another one starts after it. */
  stopDaemon(daemon: Daemon, lingering: number): void {
    const { life } = daemon;
    this.#deliver(daemon, life, { kind: 'stopping' });
    this.clock.after(lingering, () => {
      if (daemon.life === life) {
        daemon.alive = false;
        this.clock.after(500, () => this.startDaemon(daemon));
      }
    });
  }

  leader(): Daemon | undefined {
    const leaders = this.daemons.filter((daemon) => daemon.alive && daemon.state.leadership !== null);
    return leaders.sort(
      (left, right) => right.state.election.leaderRevision - left.state.election.leaderRevision,
    )[0];
  }

  #tickAll(): void {
    for (const daemon of this.daemons) {
      if (daemon.frozenUntil <= this.clock.now) {
        this.#deliver(daemon, daemon.life, { kind: 'tick' });
      }
    }
    this.clock.after(TICK, () => this.#tickAll());
  }

  /** Counts a request for each of the keys at every daemon. */
  ask(keys: readonly number[]): void {
    for (const daemon of this.daemons) {
      const tally = daemon.state.keyTallies.get(SERVICE) ?? new Map<number, number>();
      keys.forEach((key) => tally.set(key, (tally.get(key) ?? 0) + 1));
      daemon.state.keyTallies.set(SERVICE, tally);
    }
  }

  #deliver(daemon: Daemon, life: number, event: RouterEvent): void {
    if (!daemon.alive || daemon.life !== life) {
      return;
    }
    if (daemon.frozenUntil > this.clock.now) {
      this.clock.after(daemon.frozenUntil - this.clock.now, () => this.#deliver(daemon, life, event));
      return;
    }
    daemon.clock.now();
    const suspension = daemon.clock.takeSuspension();
    if (suspension !== null) {
      this.#reduce(daemon, { kind: 'resumed', ...suspension });
    }
    this.#reduce(daemon, event);
  }

  #reduce(daemon: Daemon, event: RouterEvent): void {
    for (const effect of reduce(daemon.state, daemon.clock.now(), event)) {
      this.#perform(daemon, effect);
    }
  }

  #perform(daemon: Daemon, effect: Effect): void {
    const { life } = daemon;
    const sentAt = daemon.clock.now();
    switch (effect.kind) {
      case 'readObject':
        return this.store.read(effect.object, daemon.storeReachable, (outcome) => {
          this.#deliver(daemon, life, { kind: 'objectRead', object: effect.object, sentAt, outcome });
        });
      case 'writeObject':
        return this.store.write(
          effect.object,
          effect.value,
          effect.revision,
          daemon.storeReachable,
          (outcome) => {
            this.#deliver(daemon, life, { kind: 'objectWritten', object: effect.object, sentAt, outcome });
          },
        );
      case 'control': {
        // The call reaches the server that has the address now, which may be another one than the daemon means.
        const receiver = this.servers.findLast((server) => server.address === effect.address);
        return carryCall(this.clock, this.random, receiver, effect, this.troubles, (outcome) => {
          if (receiver !== undefined && ANSWERED.has(outcome.kind)) {
            const { server } = effect;
            this.#deliver(daemon, life, { kind: 'serverLimitRead', server, reading: receiver.limit, sentAt });
          }
          this.#deliver(daemon, life, { kind: 'controlEnded', callId: effect.callId, outcome });
        });
      }
      case 'follow':
        this.#closeLink(daemon, daemon.following);
        daemon.following = effect.address;
        this.#checkLink(daemon, life, effect.address, false);
        return;
      case 'followStore':
        return daemon.feeds?.followStore(effect);
      case 'followEvacuations':
        return daemon.feeds?.followEvacuations(effect);
      case 'refreshFeed':
        return daemon.feeds?.refresh(effect.feed);
      case 'sendToParent': {
        const parent = this.daemons.find((other) => other.address === daemon.following);
        return parent === undefined
          ? undefined
          : this.#sendMessage(daemon, parent, this.daemons.indexOf(daemon), effect.message);
      }
      case 'sendToChildren':
        for (const child of this.daemons) {
          const chosen = effect.link === null || effect.link === this.daemons.indexOf(child);
          if (chosen && child !== daemon && child.following === daemon.address) {
            this.#sendMessage(daemon, child, PARENT_LINK, effect.message);
          }
        }
        return;
      case 'log':
        this.events.push(
          `${Math.round(this.clock.now)} ${daemon.name} ${effect.event} ${JSON.stringify(effect.fields)}`,
        );
        return;
      default:
        this.requests?.perform(daemon, effect);
    }
  }

  /** Delivers an event to the current incarnation of a daemon. */
  deliver(daemon: Daemon, event: RouterEvent): void {
    this.#deliver(daemon, daemon.life, event);
  }

  /** Tells the parent at an address that a daemon's link has closed. */
  #closeLink(daemon: Daemon, address: string | null): void {
    const parent = this.daemons.find((other) => other.address === address);
    if (parent !== undefined) {
      const { life } = parent;
      const link = this.daemons.indexOf(daemon);
      this.clock.after(LINK_DELAY, () => this.#deliver(parent, life, { kind: 'peerLeft', link }));
    }
  }

  /** Checks a daemon's link to its parent at intervals and tells the daemon when it opens or closes. */
  #checkLink(daemon: Daemon, life: number, address: string | null, wasOpen: boolean): void {
    if (address === null || daemon.following !== address || daemon.life !== life) {
      return;
    }
    if (!daemon.alive) {
      this.#closeLink(daemon, address);
      return;
    }
    const listens =
      daemon.peersReachable &&
      this.daemons.some((other) => other.address === address && other.alive && other.peersReachable);
    if (!listens) {
      this.#deliver(daemon, life, { kind: 'parentLinkClosed', address, refused: !wasOpen });
    } else if (!wasOpen) {
      this.clock.after(LINK_DELAY, () => this.#deliver(daemon, life, { kind: 'parentLinkOpened' }));
    }
    this.clock.after(LINK_RETRY, () => this.#checkLink(daemon, life, address, listens));
  }

  #sendMessage(from: Daemon, to: Daemon, link: number, message: PeerMessage): void {
    const { life } = to;
    const isOpen = from.peersReachable && to.peersReachable;
    if (isOpen) {
      this.clock.after(LINK_DELAY, () => this.#deliver(to, life, { kind: 'peerMessage', link, message }));
    }
  }

  /** Returns the checked keys that no server would serve now. */
  unservedKeys(): number[] {
    return WATCHED_KEYS.filter((key) => !this.servers.some((server) => server.holds(key)));
  }
}
