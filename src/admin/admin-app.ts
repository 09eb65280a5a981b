/**
 * The admin API of a daemon: statements, metrics and health.
 *
 * - `POST /statement` with `{statement, operator?}` returns `{rows}`, `{accepted, detail}` or a problem body.
 * - `GET /metrics`, `GET /health/live`, `GET /health/ready`.
 */
import { Hono } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { Registry } from 'prom-client';
import * as z from 'zod';
import type { DaemonState } from '../core/daemon-state.js';
import type { OperatorCommand } from '../core/events.js';
import { FennelferryError } from '../errors.js';
import { unmetReadinessConditions } from '../runtime/readiness.js';
import { editConfiguration, type EditStatement } from './configuration-edits.js';
import { parseStatement } from './language/parser.js';
import type { Statement } from './language/statements.js';
import { answerQuery, resolveUnit, type QueryStatement, type Row } from './queries.js';

/** The outcome of a command. */
export interface CommandAnswer {
  readonly accepted: boolean;
  readonly detail: string;
}

/** The dependencies of the admin API. */
export interface AdminContext {
  readonly state: DaemonState;
  readonly metrics: Registry;
  /** Runs a command; resolves with its outcome, or as not accepted when no outcome is known in time. */
  run(command: OperatorCommand): Promise<CommandAnswer>;
}

const statementBodySchema = z.strictObject({
  statement: z.string().min(1).max(10_000),
  operator: z
    .string()
    .regex(/^[a-zA-Z0-9._-]+$/, 'allowed: letters, digits, dots, dashes and underscores')
    .default('operator'),
});

type StatementAnswer = { rows: readonly Row[] } | CommandAnswer;

function isQuery(statement: Statement): statement is QueryStatement {
  return statement.kind.startsWith('show');
}

async function runCommand(
  admin: AdminContext,
  statement: Exclude<Statement, QueryStatement>,
  operator: string,
): Promise<CommandAnswer> {
  if (statement.kind === 'move' || statement.kind === 'handOver') {
    const { kind: action, reference, group } = statement;
    const target = statement.kind === 'move' ? statement.target : statement.side;
    const unit = resolveUnit(admin.state, group, reference);
    return unit.isErr()
      ? { accepted: false, detail: unit.error.message }
      : admin.run({ action, group, unit: unit.value, target });
  }
  if (statement.kind === 'pin') {
    const { key, group, target } = statement;
    return admin.run({ action: 'pin', group, key, target });
  }
  if (statement.kind === 'recover') {
    return admin.run({ action: 'recover', shard: statement.shard });
  }
  return runEdit(admin, statement, operator);
}

async function runEdit(admin: AdminContext, edit: EditStatement, operator: string): Promise<CommandAnswer> {
  const { configuration, version } = admin.state.configuration;
  if (configuration === null) {
    return { accepted: false, detail: 'no configuration is in force on this daemon yet' };
  }
  const text = editConfiguration(configuration, edit);
  return text.isErr()
    ? { accepted: false, detail: text.error.message }
    : admin.run({ action: 'configure', expectedVersion: version, text: text.value, operator });
}

async function runStatement(admin: AdminContext, text: string, operator: string): Promise<StatementAnswer> {
  const parsed = parseStatement(text);
  if (parsed.isErr()) {
    throw parsed.error;
  }
  const statement = parsed.value;
  if (!isQuery(statement)) {
    return runCommand(admin, statement, operator);
  }
  const rows = answerQuery(admin.state, statement);
  if (rows.isErr()) {
    throw rows.error;
  }
  return { rows: rows.value };
}

function problemResponse(status: ContentfulStatusCode, title: string, detail: string): Response {
  const body = JSON.stringify({ type: 'about:blank', title, status, detail });
  return new Response(body, { status, headers: { 'content-type': 'application/problem+json' } });
}

/** Returns the HTTP application that serves the admin API. */
export function createAdminApp(admin: AdminContext): Hono {
  const app = new Hono();
  app.get('/metrics', async (context) => context.text(await admin.metrics.metrics()));
  app.get('/health/live', (context) => context.json({ live: true }));
  app.get('/health/ready', (context) => {
    const missing = unmetReadinessConditions(admin.state);
    return context.json({ ready: missing.length === 0, missing }, missing.length === 0 ? 200 : 503);
  });
  app.post('/statement', async (context) => {
    const body = statementBodySchema.safeParse(await context.req.json().catch(() => null));
    if (!body.success) {
      return problemResponse(
        400,
        'Bad request',
        'the body must be JSON: {"statement": "...", "operator": "..."}',
      );
    }
    const answer = await runStatement(admin, body.data.statement, body.data.operator);
    const isRejected = 'accepted' in answer && !answer.accepted;
    return context.json(answer, isRejected ? 409 : 200);
  });
  app.onError((error) => {
    return error instanceof FennelferryError
      ? problemResponse(400, error.name, error.message)
      : problemResponse(500, 'Internal error', error.message);
  });
  return app;
}
