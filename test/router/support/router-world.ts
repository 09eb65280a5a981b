/** Router daemons in virtual time with a model of the store and of keyed servers, under random faults. */
import { SeededRandom } from '../../../src/core/random.js';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import type { Configuration } from '../../../src/router/model/configuration.js';
import { buildServerId, instanceOf } from '../../../src/router/model/server-life.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import type { PeerMessage } from '../../../src/router/peers/messages.js';
import { watchTime } from '../../../src/router/news/store-watch-timing.js';
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
/** A link that broke is opened again after this long. */
const LINK_RETRY = 150;
/** The link on which a daemon hears its parent. */
const PARENT_LINK = -1;
/** Outcomes of a call that come with an answer of the server that was meant. */
const ANSWERED: ReadonlySet<string> = new Set(['accepted', 'higherFence', 'rejected']);
/** One life of a daemon. */
export interface Daemon {
  readonly name: string;
  readonly address: string;
  state: RouterState;
  life: number;
  alive: boolean;
  /** Other daemons reach it. */
  peersReachable: boolean;
  /** It reaches the store. */
  storeReachable: boolean;
  /** Its process stands still until this time; what reaches it waits. */
  frozenUntil: number;
  readonly machine: Machine;
  clock: DaemonClock;
  following: string | null;
  /** What it lists and watches in the store; null before its first start. */
  feeds: StoreFeeds | null;
}

/** What a world of requests does with the effects that concern them. */
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
  /** Carries out what daemons do with requests; null: nobody asks for anything. */
  requests: RequestCarrier | null = null;
  readonly configurations: ModelFeed<Configuration>;
  readonly serverEntries: ModelFeed<ServerDescription>;
  readonly evacuations: ModelFeed<string>;
  #evacuated: readonly string[] = [];
  readonly #entries = new Map<string, ServerDescription>();
  #lives = 0;
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

  /** Times in ms: how much later its entry comes, and how long it is cold then. */
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
      this.#list(entry);
    } else {
      this.clock.after(listedAfter, () => this.#list(entry));
    }
    return server;
  }

  /** Writes a server's entry at the store's next revision. */
  #list(entry: ServerDescription): void {
    const revision = this.store.revision + 1;
    const instance = instanceOf(entry.id);
    this.#entries.set(instance, { ...entry, revision });
    this.serverEntries.put(instance, { ...entry, revision });
  }

  /** A server crashes and starts again at its address, under the name that it had; its entry never goes. */
  restartServer(server: ModelServer, born: number): ModelServer {
    const entry = this.#entries.get(instanceOf(server.id));
    if (entry === undefined) {
      throw new Error(`${server.id} is not listed`);
    }
    server.alive = false;
    const id = buildServerId(instanceOf(server.id), born);
    const next = new ModelServer(id, server.address, this.clock, this.checker);
    this.servers.push(next);
    this.#list({ ...entry, id });
    return next;
  }

  /** Operators put another configuration into the store. */
  configure(configuration: Configuration): void {
    this.configurations.put('main', configuration);
  }

  /** Takes a server off the list. */
  unlist(id: string): void {
    this.#entries.delete(id);
    this.serverEntries.put(id, null);
  }

  drain(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#list({ ...entry, draining: true });
    }
  }

  /** A server's entry tells another number of slots. */
  resize(id: string, slots: number): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#list({ ...entry, slots });
    }
  }

  /** Operators evacuate these zones and no other ones. */
  evacuate(zones: readonly string[]): void {
    const former = this.#evacuated;
    this.#evacuated = zones;
    zones.filter((zone) => !former.includes(zone)).forEach((zone) => this.evacuations.put(zone, zone));
    former.filter((zone) => !zones.includes(zone)).forEach((zone) => this.evacuations.put(zone, null));
  }

  /** Connections to the store on which daemons wait go silent, without a reset. */
  silenceWatches(): void {
    [this.configurations, this.serverEntries, this.evacuations].forEach((feed) => feed.silenceWatches());
  }

  #addDaemon(name: string, address: string): void {
    const machine = new Machine(this.clock);
    const daemon: Daemon = {
      name,
      address,
      state: this.#freshState(name, address),
      life: this.#lives,
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

  #freshState(daemon: string, peerAddress: string): RouterState {
    this.#lives += 1;
    const isFirstStart = this.clock.now === 0;
    const identity = { daemon, zone: 'z0', peerAddress, life: this.#lives, isFirstStart };
    return createRouterState(identity, BOUNDS, this.#lives);
  }

  startDaemon(daemon: Daemon): void {
    daemon.clock = daemon.machine.createClock((now) => this.bootClock(now));
    daemon.state = this.#freshState(daemon.name, daemon.address);
    daemon.life = this.#lives;
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

  /** Suspends a daemon's machine: what reaches it waits, and its steady clock stands still. */
  suspend(daemon: Daemon, length: number): void {
    if (daemon.frozenUntil > this.clock.now) {
      return;
    }
    const until = this.clock.now + length;
    daemon.frozenUntil = until;
    daemon.machine.suspend(until);
    // A timer may fire before what waits in the sockets is read.
    this.clock.after(length, () => this.deliver(daemon, { kind: 'tick' }));
  }

  /** A planned stop: the process goes on for a while, and another one starts after it. */
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

  /** Keys that callers ask for at every daemon now. */
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
        // The address answers for whoever lives there now.
        const there = this.servers.findLast((server) => server.address === effect.address);
        return carryCall(this.clock, this.random, there, effect, this.troubles, (outcome) => {
          if (there !== undefined && ANSWERED.has(outcome.kind)) {
            const { server } = effect;
            this.#deliver(daemon, life, { kind: 'serverLimitRead', server, reading: there.limit, sentAt });
          }
          this.#deliver(daemon, life, { kind: 'controlEnded', callId: effect.callId, outcome });
        });
      }
      case 'follow':
        this.#leave(daemon, daemon.following);
        daemon.following = effect.address;
        this.#watchLink(daemon, life, effect.address, false);
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
          : this.#pass(daemon, parent, this.daemons.indexOf(daemon), effect.message);
      }
      case 'sendToChildren':
        for (const child of this.daemons) {
          const chosen = effect.link === null || effect.link === this.daemons.indexOf(child);
          if (chosen && child !== daemon && child.following === daemon.address) {
            this.#pass(daemon, child, PARENT_LINK, effect.message);
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

  /** Something happens to a daemon in the life that it has now. */
  deliver(daemon: Daemon, event: RouterEvent): void {
    this.#deliver(daemon, daemon.life, event);
  }

  /** The parent at an address sees that a daemon's link has ended. */
  #leave(daemon: Daemon, address: string | null): void {
    const parent = this.daemons.find((other) => other.address === address);
    if (parent !== undefined) {
      const { life } = parent;
      const link = this.daemons.indexOf(daemon);
      this.clock.after(LINK_DELAY, () => this.#deliver(parent, life, { kind: 'peerLeft', link }));
    }
  }

  /** Tells a daemon when the process that it follows is gone, or is there: nothing listens there in between. */
  #watchLink(daemon: Daemon, life: number, address: string | null, wasOpen: boolean): void {
    if (address === null || daemon.following !== address || daemon.life !== life) {
      return;
    }
    if (!daemon.alive) {
      this.#leave(daemon, address);
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
    this.clock.after(LINK_RETRY, () => this.#watchLink(daemon, life, address, listens));
  }

  #pass(from: Daemon, to: Daemon, link: number, message: PeerMessage): void {
    const { life } = to;
    const isOpen = from.peersReachable && to.peersReachable;
    if (isOpen) {
      this.clock.after(LINK_DELAY, () => this.#deliver(to, life, { kind: 'peerMessage', link, message }));
    }
  }

  /** Watched keys that no server would serve now. */
  unservedKeys(): number[] {
    return WATCHED_KEYS.filter((key) => !this.servers.some((server) => server.holds(key)));
  }
}
