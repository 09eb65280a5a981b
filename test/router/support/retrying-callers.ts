/** Callers of the less urgent route that repeat refused requests, at one daemon. */
import { BULK, PriorityDeployment } from './priority-deployment.js';

interface RetryingCaller {
  readonly name: string;
  readonly returnsAtOnce: boolean;
  requestId: number | null;
  startedAt: number | null;
  nextAt: number;
  served: number;
}

/** Callers that repeat each request until its timeout; some honour retry times, and some return at once. Returns the served ones of each. */
export function simulateRetryingCallers(
  servers: number,
  callers: number,
  impatient: number,
): [number, number] {
  const deployment = new PriorityDeployment(servers);
  const all = Array.from({ length: callers }, (_, index): RetryingCaller => {
    const nextAt = deployment.now + index * 20;
    const state = { requestId: null, startedAt: null, nextAt, served: 0 };
    return { name: `caller-${index}`, returnsAtOnce: index < impatient, ...state };
  });
  deployment.run(20_000, () => {
    all.forEach((caller) => stepCaller(deployment, caller));
  });
  const meanOf = (group: RetryingCaller[]): number =>
    group.reduce((sum, { served }) => sum + served, 0) / group.length;
  return [meanOf(all.slice(0, impatient)), meanOf(all.slice(impatient))];
}

function stepCaller(deployment: PriorityDeployment, caller: RetryingCaller): void {
  const { now } = deployment;
  const answer = caller.requestId === null ? undefined : deployment.answerOf(caller.requestId);
  if (answer !== undefined) {
    caller.requestId = null;
    const left = (caller.startedAt ?? now) + BULK.timeout - now;
    const wait = caller.returnsAtOnce ? 0 : Math.min(answer.retryAfter ?? 0, left / 3);
    const isOver = answer.status === 200 || left - wait < 300;
    caller.served += answer.status === 200 ? 1 : 0;
    caller.startedAt = isOver ? null : caller.startedAt;
    caller.nextAt = isOver ? now + 200 : now + wait;
  }
  if (caller.requestId === null && caller.nextAt <= now) {
    caller.startedAt ??= now;
    caller.requestId = deployment.send(BULK, caller.startedAt + BULK.timeout - now, caller.name);
  }
}
