import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { LimitShare } from '../../../src/router/limits/limit-share.js';
import { Permits } from '../../../src/router/limits/permits.js';

const GRANTED: LimitShare = { rate: 3, daemons: 11, isLeaderGranting: true };
const EQUAL_SHARE: LimitShare = { ...GRANTED, isLeaderGranting: false };

function waitingRequest(
  holdUntil: number,
  priority = 1,
): { id: number; priority: number; holdUntil: number } {
  return { id: 1, priority, holdUntil };
}

/** Time for which requests wait for their permits. */
const WAIT = 100;

function grantPermits(permits: Permits, requestIds: readonly number[], now: number): void {
  requestIds.forEach((requestId) => {
    permits.recordRequested(requestId, WAIT, now);
    permits.recordGranted(requestId, now);
  });
}

describe('the permits of a daemon', () => {
  it('are awaited only by a request that can wait long enough', () => {
    const permits = new Permits(0);
    expect(permits.sendPermissionFor(waitingRequest(1_100), GRANTED, 1_000)).toEqual('awaited');
    expect(permits.sendPermissionFor(waitingRequest(1_010), GRANTED, 1_000)).toEqual('none');
  });

  it('are valid for one request each and for a short time', () => {
    const permits = new Permits(0);
    grantPermits(permits, [1, 2], 1_000);
    permits.recordSend(1_010);
    expect(permits.count(1_010)).toEqual(1);
    expect(permits.count(1_400)).toEqual(0);
  });

  it('are returned by a request that was not sent', () => {
    const permits = new Permits(0);
    grantPermits(permits, [1], 1_000);
    permits.recordSend(1_010);
    permits.returnUnused(1_500);
    expect(permits.sendPermissionFor(waitingRequest(1_500), GRANTED, 1_550)).toEqual('free');
  });

  it('are not requested before the time given in a denial, except by more urgent requests', () => {
    const permits = new Permits(0);
    permits.recordRequested(1, WAIT, 1_000);
    permits.recordDenied(1, 1, 400, 1_000);
    expect(permits.sendPermissionFor(waitingRequest(1_300), GRANTED, 1_100)).toEqual('none');
    expect(permits.sendPermissionFor(waitingRequest(1_300, 2), GRANTED, 1_100)).toEqual('none');
    expect(permits.sendPermissionFor(waitingRequest(1_300, 0), GRANTED, 1_100)).toEqual('awaited');
    expect(permits.sendPermissionFor(waitingRequest(1_500), GRANTED, 1_100)).toEqual('awaited');
    expect(permits.timeUntilPermission(1, GRANTED, 1_100)).toEqual(300);
  });

  it('are detected as overdue when no answer arrives in time', () => {
    const permits = new Permits(0);
    permits.recordRequested(1, 100, 1_000);
    expect(permits.isRequested(1)).toEqual(true);
    expect(permits.removeOverdue(1_300)).toEqual(false);
    expect(permits.removeOverdue(1_400)).toEqual(true);
    expect(permits.isRequested(1)).toEqual(false);
  });

  it('are not granted or denied by an answer that is overdue or was not requested', () => {
    const permits = new Permits(0);
    permits.recordRequested(1, WAIT, 1_000);
    permits.recordGranted(1, 1_400);
    permits.recordRequested(2, WAIT, 1_000);
    permits.recordDenied(2, 1, 5_000, 1_400);
    permits.recordGranted(3, 1_400);
    expect(permits.count(1_400)).toEqual(0);
    expect(permits.timeUntilPermission(1, GRANTED, 1_400)).toEqual(0);
  });

  it('are valid no longer than their answers would have been awaited', () => {
    const permits = new Permits(0);
    permits.recordRequested(1, WAIT, 1_000);
    permits.recordRequested(2, WAIT, 1_200);
    permits.recordGranted(2, 1_340);
    permits.recordGranted(1, 1_340);
    expect([1_340, 1_360, 1_540, 1_560].map((now) => permits.count(now))).toEqual([2, 1, 1, 0]);
  });

  it('are replaced by the send windows of an equal share if no leader grants them', () => {
    const permits = new Permits(0);
    let sent = 0;
    for (let now = 0; now < 52_300; now += 20) {
      if (permits.sendPermissionFor(waitingRequest(now), EQUAL_SHARE, now) === 'free') {
        permits.recordSend(now);
        sent += 1;
      }
    }
    // One eleventh of 0.7 of 3 requests per second, for 52 s.
    expect(sent).toEqual(10);
  });

  it('are discarded after a suspension', () => {
    const permits = new Permits(0);
    grantPermits(permits, [1], 1_000);
    permits.clear();
    expect(permits.count(1_010)).toEqual(0);
  });
});
