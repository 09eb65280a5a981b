import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { ServiceLoadView } from '../../../src/router/load-view/load-view.js';
import type { CandidateServer } from '../../../src/router/request/server-eligibility.js';
import {
  DemandStep,
  markReserved,
  reservationOrder,
  urgentDemand,
} from '../../../src/router/request/reserved-servers.js';
import { ServerLoad } from '../../../src/router/request/server-load.js';
import { ServiceProfile } from '../../../src/router/request/service-profile.js';
import { createCandidate } from '../support/candidates.js';
import { describeServer } from '../support/single-daemon.js';

function viewOf(demands: Readonly<Record<number, number>>): ServiceLoadView {
  const priorities = Object.keys(demands).map(Number);
  return {
    source: 'fleet',
    priorities,
    demandSlots: (priority) => demands[priority] ?? 0,
    meanLoad: () => null,
  };
}

/** One daemon's view of the servers of a service. */
class Daemon {
  readonly profile = new ServiceProfile();
  readonly servers = new Map<string, CandidateServer>();
  #revision = 0;

  constructor(count: number) {
    for (let index = 0; index < count; index += 1) {
      this.add(`s${index}`, `z${index % 4}`);
    }
  }

  add(id: string, zone: string): void {
    const load = new ServerLoad(this.profile, 2, 50);
    this.servers.set(id, createCandidate({ ...describeServer(id), zone }, load));
    this.#revision += 1;
  }

  remove(id: string): void {
    this.servers.delete(id);
    this.#revision += 1;
  }

  update(view: ServiceLoadView, unusable: readonly string[] = []): void {
    const isUsable = ({ server }: CandidateServer): boolean => !unusable.includes(server.id);
    this.profile.reserved.update(view, this.servers, this.#revision, isUsable, 1_000);
  }

  get reserved(): string[] {
    return [...this.servers.values()].filter(({ load }) => load.isReserved).map(({ server }) => server.id);
  }
}

function difference(left: readonly string[], right: readonly string[]): number {
  return [...left, ...right].filter((id) => !left.includes(id) || !right.includes(id)).length;
}

describe('the reserved servers', () => {
  it('have twice the slots that the urgent demand fills, from all zones', () => {
    const daemon = new Daemon(60);
    daemon.update(viewOf({ 0: 16, 2: 100 }));
    const slots = daemon.reserved.length * 2;
    expect(slots >= 26 && slots <= 40).toEqual(true);
    const zones = daemon.reserved.map((id) => daemon.servers.get(id)?.server.zone);
    const perZone = ['z0', 'z1', 'z2', 'z3'].map((zone) => zones.filter((other) => other === zone).length);
    expect(Math.max(...perZone) - Math.min(...perZone) <= 1).toEqual(true);
  });

  it('are at least two and at most half', () => {
    const daemon = new Daemon(20);
    daemon.update(viewOf({ 0: 0.3, 2: 5 }));
    expect(daemon.reserved.length).toEqual(2);
    daemon.update(viewOf({ 0: 100, 2: 5 }));
    expect(daemon.reserved.length).toEqual(10);
  });

  // A service with one kind of request would lose the use of some servers.
  it('are none for requests of one priority, or with little urgent demand', () => {
    const daemon = new Daemon(20);
    for (const demands of [{}, { 0: 30 }, { 2: 30 }, { 0: 0.1, 2: 30 }, { 0: 5, 2: 0 }]) {
      daemon.update(viewOf({ 0: 5, 2: 5 }));
      expect(daemon.reserved.length > 0).toEqual(true);
      daemon.update(viewOf(demands));
      expect(daemon.reserved).toEqual([]);
      expect(daemon.profile.reserved.allows(2)).toEqual(true);
    }
  });

  it('are for the second priority, too, while the first has little demand', () => {
    const demand = urgentDemand(viewOf({ 0: 0.1, 1: 5, 2: 30 }));
    expect(demand).toEqual({ priority: 1, slots: 5.1 });
  });

  it('take no less urgent requests', () => {
    const daemon = new Daemon(20);
    daemon.update(viewOf({ 0: 5, 2: 5 }));
    expect([0, 1, 2].map((priority) => daemon.profile.reserved.allows(priority))).toEqual([
      true,
      false,
      false,
    ]);
  });
});

describe('the reserved servers of daemons that differ', () => {
  // Each disagreement is a server to which one daemon sends less urgent requests and another urgent ones.
  it('are the same for most demands that differ by a twentieth', () => {
    let different = 0;
    for (let demand = 4; demand < 24; demand += 1) {
      const [left, right] = [new Daemon(69), new Daemon(69)];
      left.update(viewOf({ 0: demand, 2: 100 }));
      right.update(viewOf({ 0: demand * 1.05, 2: 100 }));
      different += difference(left.reserved, right.reserved) > 0 ? 1 : 0;
      const [smaller, larger] = [left.reserved, right.reserved].sort((a, b) => a.length - b.length);
      expect(smaller?.every((id) => larger?.includes(id))).toEqual(true);
    }
    expect(different <= 6).toEqual(true);
  });

  it('stay while the demand varies by less than a quarter', () => {
    const daemon = new Daemon(69);
    daemon.update(viewOf({ 0: 10, 2: 100 }));
    const before = daemon.reserved;
    for (const demand of [11, 9, 11.5, 8.8]) {
      daemon.update(viewOf({ 0: demand, 2: 100 }));
      expect(daemon.reserved).toEqual(before);
    }
    daemon.update(viewOf({ 0: 16, 2: 100 }));
    expect(daemon.reserved.length > before.length).toEqual(true);
  });

  it('change by few servers when one comes or goes', () => {
    const daemon = new Daemon(69);
    daemon.update(viewOf({ 0: 10, 2: 100 }));
    const before = daemon.reserved;
    daemon.remove(before[0] as string);
    daemon.update(viewOf({ 0: 10, 2: 100 }));
    expect(difference(before, daemon.reserved) <= 4).toEqual(true);
    const after = daemon.reserved;
    daemon.add('s900', 'z1');
    daemon.update(viewOf({ 0: 10, 2: 100 }));
    expect(difference(after, daemon.reserved) <= 2).toEqual(true);
  });

  it('are replaced when they drain, are cold or evacuated', () => {
    const daemon = new Daemon(69);
    daemon.update(viewOf({ 0: 10, 2: 100 }));
    const before = daemon.reserved;
    const unusable = before.slice(0, 5);
    daemon.update(viewOf({ 0: 10, 2: 100 }), unusable);
    const usable = daemon.reserved.filter((id) => !unusable.includes(id));
    expect(usable.length).toEqual(before.length);
    expect(daemon.profile.reserved.size).toEqual(before.length);
    daemon.update(viewOf({ 0: 10, 2: 100 }));
    expect(daemon.reserved).toEqual(before);
  });

  it('do not depend on the order of the list', () => {
    const servers = [...new Daemon(30).servers.values()];
    const ids = (order: readonly CandidateServer[]): string[] => order.map(({ server }) => server.id);
    expect(ids(reservationOrder([...servers].reverse()))).toEqual(ids(reservationOrder(servers)));
    expect(markReserved(reservationOrder(servers), 3, () => true)).toEqual(3);
  });
});

describe('the step of the demand', () => {
  it('is within an eighth of a new demand', () => {
    for (let demand = 0.2; demand < 200; demand *= 1.07) {
      const step = new DemandStep().follow(demand);
      expect(step / demand < 1.13 && step / demand > 0.88).toEqual(true);
    }
  });
});
