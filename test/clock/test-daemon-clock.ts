import { expect } from 'earl';
import { describe, it } from 'node:test';
import { DaemonClock } from '../../src/clock/daemon-clock.js';

/** The clocks of a simulated machine, which tests can suspend and whose time of day they can set. */
class SimulatedMachine {
  steady = 5_000;
  suspended = 0;
  dayStep = 0;
  /** Rate of the boot-time clock, relative to real time. */
  bootRate = 1;
  readonly clock = new DaemonClock({
    steady: () => this.steady,
    boot: () => Math.floor(((this.steady + this.suspended) * this.bootRate) / 10) * 10,
    timeOfDay: () => 1_700_000_000_000 + this.steady + this.suspended + this.dayStep,
  });

  /** Lets time pass in steps of 20 ms and reads the clock at each step. */
  run(length: number): void {
    for (const end = this.steady + length; this.steady < end; this.steady += 20) {
      this.clock.now();
    }
  }
}

describe("a daemon's clock", () => {
  it('includes the time of a suspension, and reports it once', () => {
    const machine = new SimulatedMachine();
    machine.run(6_000);
    const before = machine.clock.now();
    machine.suspended += 4_000;
    expect(machine.clock.now() - before).toEqual(4_000);
    expect(machine.clock.takeSuspension()).toEqual({ length: 4_000, isCounted: true });
    expect(machine.clock.takeSuspension()).toEqual(null);
  });

  it('includes a suspension that follows right after another one has been reported', () => {
    const machine = new SimulatedMachine();
    machine.run(6_000);
    const before = machine.clock.now();
    machine.suspended += 4_000;
    machine.clock.now();
    machine.clock.takeSuspension();
    machine.suspended += 300;
    expect(machine.clock.now() - before).toEqual(4_300);
    expect(machine.clock.takeSuspension()?.length).toEqual(300);
  });

  it('ignores a time of day that is set forward or back', () => {
    const machine = new SimulatedMachine();
    machine.run(6_000);
    const before = machine.clock.now();
    machine.dayStep += 2_000;
    expect(machine.clock.now()).toEqual(before);
    machine.dayStep -= 5_000;
    expect(machine.clock.now()).toEqual(before);
    expect(machine.clock.takeSuspension()).toEqual(null);
  });

  it('does not trust a boot-time clock that runs at another rate', () => {
    const machine = new SimulatedMachine();
    machine.bootRate = 1.7;
    machine.run(6_000);
    const before = machine.clock.now();
    expect(before).toEqual(machine.steady);
    machine.suspended += 4_000;
    expect(machine.clock.now()).toEqual(before);
    expect(machine.clock.takeSuspension()).toEqual({ length: 4_000, isCounted: false });
  });

  it('stops trusting the boot-time clock once it runs faster than the steady clock', () => {
    const machine = new SimulatedMachine();
    machine.run(6_000);
    machine.bootRate = 1.2;
    machine.run(2_000);
    const before = machine.clock.now();
    machine.suspended += 4_000;
    expect(machine.clock.now()).toEqual(before);
    expect(machine.clock.takeSuspension()?.isCounted).toEqual(false);
  });

  it('never goes back', () => {
    const machine = new SimulatedMachine();
    machine.run(6_000);
    let last = 0;
    for (const change of [4_000, -3_000, 150, -150, 9_000]) {
      machine.dayStep += change;
      machine.suspended += 120;
      machine.run(1_500);
      expect(machine.clock.now() >= last).toEqual(true);
      last = machine.clock.now();
    }
  });
});
