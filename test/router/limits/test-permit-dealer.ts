import { expect } from 'earl';
import { describe, it } from 'node:test';
import { PermitDealer } from '../../../src/router/limits/permit-dealer.js';
import type { PermitAnswer, PermitAsk } from '../../../src/router/limits/permit-messages.js';

const RATE = 2;

function ask(requestId: number, wait: number, priority = 1): PermitAsk {
  return { kind: 'permitAsk', server: 's1', daemon: 'd1', requestId, priority, wait, path: [7, requestId] };
}

/** A dealer that has dealt out what was saved up. */
function emptyDealer(): PermitDealer {
  const dealer = new PermitDealer();
  dealer.ask(ask(1, 0), RATE, 0);
  dealer.ask(ask(2, 0), RATE, 1_000);
  dealer.ask(ask(3, 0), RATE, 1_000);
  return dealer;
}

function granted(answers: readonly PermitAnswer[]): number[] {
  return answers.filter((answer) => answer.granted).map(({ requestId }) => requestId);
}

describe('the dealer of permits', () => {
  it('saves up two places at most while nobody asks', () => {
    const dealer = new PermitDealer();
    expect(granted(dealer.ask(ask(1, 0), RATE, 0))).toEqual([]);
    const answers = [2, 3, 4].flatMap((id) => dealer.ask(ask(id, 0), RATE, 60_000));
    expect(granted(answers)).toEqual([2, 3]);
  });

  it('answers at once that there is no place in time, and when there may be one', () => {
    const dealer = emptyDealer();
    const [answer] = dealer.ask(ask(4, 300), RATE, 1_000);
    expect(answer?.granted).toEqual(false);
    expect(answer?.nextPlaceIn).toEqual(500);
    expect(answer?.path).toEqual([7, 4]);
  });

  it('lets an ask wait whose place comes in time', () => {
    const dealer = emptyDealer();
    expect(dealer.ask(ask(4, 600), RATE, 1_000)).toEqual([]);
    expect(dealer.tick(() => RATE, 1_400)).toEqual([]);
    expect(granted(dealer.tick(() => RATE, 1_500))).toEqual([4]);
  });

  it('gives places to more urgent requests first, and tells those that lose theirs at once', () => {
    const dealer = emptyDealer();
    dealer.ask(ask(4, 600, 1), RATE, 1_000);
    const answers = dealer.ask(ask(5, 600, 0), RATE, 1_010);
    expect(answers.map(({ requestId, granted: isGranted }) => [requestId, isGranted])).toEqual([[4, false]]);
    expect(granted(dealer.tick(() => RATE, 1_500))).toEqual([5]);
  });

  it('gives places to those first that can wait for a shorter time', () => {
    const dealer = emptyDealer();
    dealer.ask(ask(4, 1_100), RATE, 1_000);
    dealer.ask(ask(5, 600), RATE, 1_000);
    expect(granted(dealer.tick(() => RATE, 1_500))).toEqual([5]);
    expect(granted(dealer.tick(() => RATE, 2_000))).toEqual([4]);
  });

  it('answers an ask that has waited in vain', () => {
    const dealer = emptyDealer();
    dealer.ask(ask(4, 600), RATE, 1_000);
    const [answer] = dealer.tick(() => RATE / 100, 1_700);
    expect([answer?.requestId, answer?.granted]).toEqual([4, false]);
  });

  it('grants what is asked of a server that names no limit any more', () => {
    const dealer = emptyDealer();
    dealer.ask(ask(4, 600), RATE, 1_000);
    expect(granted(dealer.tick(() => null, 1_010))).toEqual([4]);
    expect(granted(dealer.ask(ask(5, 0), null, 1_020))).toEqual([5]);
  });

  it('knows how much each daemon was given lately', () => {
    const dealer = new PermitDealer();
    dealer.ask(ask(1, 0), RATE, 0);
    for (let at = 500; at <= 4_500; at += 500) {
      dealer.ask(ask(at, 0), RATE, at);
    }
    expect(dealer.dealtRates('s1', 4_500)).toEqual(new Map([['d1', RATE]]));
    expect(dealer.dealtRates('s1', 60_000)).toEqual(new Map());
  });
});
